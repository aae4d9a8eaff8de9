//! Creations that are sent again: each `Idempotency-Key` makes one thing.

use super::{hex, Answer, Call, Decided, Outcome, Problem, Wait};
use crate::store::{Read, Revision, Writes};
use sha2::{Digest, Sha256};

impl Call<'_> {
    /// A creation, done once for each `Idempotency-Key`: whoever sends it again gets the first answer.
    pub(super) fn create(&self, decide: impl Fn(&dyn Read, Revision) -> Decided) -> Outcome {
        let Some(key) = &self.idempotency_key else {
            return self.change(|read| decide(read, read.revision()? + 1));
        };
        if key.is_empty() || key.len() > 255 {
            return Err(Problem::field("Idempotency-Key", "must be 1 to 255 characters"));
        }
        let name = hex(&Sha256::digest(key.as_bytes()));
        let path = format!("-idempotency/{}/{name}", self.caller.id);
        let mut hasher = Sha256::new();
        hasher.update(self.path.as_bytes());
        hasher.update([0]);
        hasher.update(self.body);
        let print = hex(&hasher.finalize());
        self.change(|read| {
            if let Some(first) = read.get(&path)? {
                if first.body["print"] != print.as_str() {
                    return Err(Problem::new(
                        422,
                        "idempotency-key-reused",
                        "the key was used for another request",
                    ));
                }
                let answer = Answer {
                    status: 201,
                    body: Some(first.body["body"].clone()),
                    version: None,
                    location: first.body["location"].as_str().map(String::from),
                    wait: Wait::No,
                };
                // The version of then: it may have been changed since.
                let version = first.body["version"].as_u64();
                return Ok((Writes::default(), Answer { version: None, ..answer }.maybe(version)));
            }
            let next = read.revision()? + 1;
            let (writes, answer) = decide(read, next)?;
            let mut body = answer.body.clone().unwrap_or_default();
            if let Some(body) = body.as_object_mut() {
                // A secret is shown once, and kept nowhere.
                body.remove("key");
            }
            let kept = serde_json::json!({
                "print": print, "body": body, "location": answer.location, "version": next, "at": self.now,
            });
            Ok((writes.put(path.clone(), kept), answer))
        })
    }
}
