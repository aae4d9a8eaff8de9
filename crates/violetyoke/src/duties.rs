//! `violetyoke duties`: the fleet's singleton roles and their owners.

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
    /// Lists all duties, with the number of shards that are owned and set aside.
    List,
    /// Shows the shards of a duty: owner, epoch, start of the lease, and last sign of work.
    Show { duty: String },
    /// Assigns a shard to a process, which owns it until it ends. The current owner finishes its work first.
    HandOver { duty: String, shard: u32, to: String },
    /// Withholds a shard from all processes until `let-go`.
    Hold {
        duty: String,
        shard: u32,
        #[arg(long, default_value = "held by hand")]
        reason: String,
    },
    /// Ends an assignment by `hand-over` or `hold`, and clears the record of failed owners.
    LetGo { duty: String, shard: u32 },
}

/// Calls the administration API, and prints the response.
pub async fn run(arguments: Arguments) -> Result<(), ClientError> {
    let Arguments { access, action } = arguments;
    let client = access.client()?;
    let response = match action {
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
    access.print(&response);
    Ok(())
}

/// Overrides the assignment of a shard, unless another operator does so at the same time. Returns the new
/// state.
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
