//! Creation of resources, which a client may repeat: each `Idempotency-Key` creates one.

use super::call::Call;
use super::problem::Problem;
use super::reply::{Decision, HandlerResult, Reply, WaitFor};
use crate::keys::to_hex;
use crate::store::{Document, ReadView, Revision, Writes};
use serde_json::json;
use sha2::{Digest, Sha256};

const MAX_KEY_LENGTH: usize = 255;

impl Call<'_> {
    /// Creates what `decide` returns, given the revision that it will have; once for each `Idempotency-Key`. A repeated
    /// request gets the first reply.
    pub(super) fn create(&self, decide: impl Fn(&dyn ReadView, Revision) -> Decision) -> HandlerResult {
        let Some(key) = self.idempotency_key else {
            return self.transact(|read| decide(read, read.revision()? + 1));
        };
        if key.is_empty() || key.len() > MAX_KEY_LENGTH {
            return Err(Problem::field("Idempotency-Key", "must be 1 to 255 characters"));
        }
        let key_digest = to_hex(&Sha256::digest(key.as_bytes()));
        let path = format!("-idempotency/{}/{key_digest}", self.caller.id);
        let request_digest = self.request_digest();
        self.transact(|read| {
            if let Some(first) = read.get(&path)? {
                return first_reply(&first, &request_digest);
            }
            let next = read.revision()? + 1;
            let (writes, reply) = decide(read, next)?;
            let mut body = reply.body.clone().unwrap_or_default();
            if let Some(body) = body.as_object_mut() {
                // A secret is shown once, and never stored.
                body.remove("key");
            }
            let stored = json!({
                "print": request_digest, "body": body, "location": reply.location, "version": next,
                "at": self.now,
            });
            Ok((writes.put(path.clone(), stored), reply))
        })
    }

    /// Identifies the request: its path and body.
    fn request_digest(&self) -> String {
        let mut hasher = Sha256::new();
        hasher.update(self.path.as_bytes());
        hasher.update([0]);
        hasher.update(self.body);
        to_hex(&hasher.finalize())
    }
}

/// The reply to a request that was processed before.
fn first_reply(stored: &Document, request_digest: &str) -> Decision {
    if stored.body["print"] != request_digest {
        return Err(Problem::new(422, "idempotency-key-reused", "the key was used for another request"));
    }
    let reply = Reply {
        status: 201,
        body: Some(stored.body["body"].clone()),
        // That of the creation: the resource may have been changed since.
        version: stored.body["version"].as_u64(),
        location: stored.body["location"].as_str().map(String::from),
        wait_for: WaitFor::Nothing,
    };
    Ok((Writes::default(), reply))
}
