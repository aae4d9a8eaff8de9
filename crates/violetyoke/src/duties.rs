//! `violetyoke duties`: the fleet's singleton roles, and who runs them.

use crate::client::{segment, Access, Client, ClientError};
use clap::{Args, Subcommand};
use hyper::Method;
use serde_json::{json, Value};

#[derive(Args)]
pub struct Arguments {
    #[command(flatten)]
    access: Access,
    #[command(subcommand)]
    action: Action,
}

#[derive(Subcommand)]
enum Action {
    /// All duties, with how many of their shards are owned and set aside.
    List,
    /// A duty's shards: owner, epoch, since when, and the last sign of work.
    Show { duty: String },
    /// Gives a shard to a process, which keeps it while it lives; its owner ends its act first.
    HandOver { duty: String, shard: u32, to: String },
    /// Nobody is to have a shard, until it is let go.
    Hold {
        duty: String,
        shard: u32,
        #[arg(long, default_value = "held by hand")]
        reason: String,
    },
    /// Ends what hand-over or hold has said, and forgives owners that fell.
    LetGo { duty: String, shard: u32 },
}

/// Calls the administration API, and prints the response.
pub async fn run(arguments: Arguments) -> Result<(), ClientError> {
    let Arguments { access, action } = arguments;
    let client = access.client()?;
    let answer = match action {
        Action::List => client.call(Method::GET, "/v1/duties", None, None).await?.body["items"].take(),
        Action::Show { duty } => client.list(&format!("/v1/duties/{}/shards", segment(&duty))).await?,
        Action::HandOver { duty, shard, to } => {
            override_shard(&client, &duty, shard, json!({ "next": to })).await?
        }
        Action::Hold { duty, shard, reason } => {
            override_shard(&client, &duty, shard, json!({ "held_back": reason })).await?
        }
        Action::LetGo { duty, shard } => override_shard(&client, &duty, shard, json!({})).await?,
    };
    access.print(&answer);
    Ok(())
}

/// Overrides the assignment of a shard, unless another operator does so meanwhile; returns the shard after it.
async fn override_shard(
    client: &Client,
    duty: &str,
    shard: u32,
    decision: Value,
) -> Result<Value, ClientError> {
    let path = format!("/v1/duties/{}/shards/{shard}", segment(duty));
    let current = client.call(Method::GET, &path, None, None).await?;
    client.call(Method::PUT, &path, Some(decision), current.version).await?;
    Ok(client.call(Method::GET, &path, None, None).await?.body)
}
