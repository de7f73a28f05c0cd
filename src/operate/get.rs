//! `get`: the configuration in force.

use async_trait::async_trait;
use clap::{ArgMatches, Command};

use crate::{
    catalog::Catalog,
    operate::{Failure, Registration, Verb, session::Session},
};

struct GetVerb;

#[async_trait]
impl Verb for GetVerb {
    fn command(&self) -> Command {
        Command::new("get").about("Prints the configuration in force, as YAML")
    }

    async fn run(&self, session: &Session, _arguments: &ArgMatches) -> Result<String, Failure> {
        let catalog: Catalog = session.get("/v1/catalog").await?;
        serde_saphyr::to_string(&catalog).map_err(|error| Failure::Invalid(vec![error.to_string()]))
    }
}

inventory::submit! { Registration(&GetVerb) }
