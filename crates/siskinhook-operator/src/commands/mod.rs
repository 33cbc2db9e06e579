//! The commands of siskinctl, one per file.

mod audit;
mod catalogue_diff;
mod catalogue_edit;
mod catalogue_history;
mod catalogue_list;
mod catalogue_show;
mod catalogue_undo;
pub mod catalogue_validate;
mod catalogue_wait;
mod database;
mod drain;
mod explain;
mod fleet;
mod node;
mod session;
mod undrain;

use crate::{
    ExitError,
    context::Context,
    flags::{CatalogueCmd, SiskinctlCmd},
};

/// Runs the command that the arguments select.
pub async fn run(mut context: Context<'_>, command: SiskinctlCmd) -> Result<(), ExitError> {
    let context = &mut context;
    match command {
        SiskinctlCmd::Catalogue(catalogue) => match catalogue.subcommand {
            CatalogueCmd::List(_) => catalogue_list::run(context).await,
            CatalogueCmd::Show(flags) => catalogue_show::run(context, &flags).await,
            CatalogueCmd::Edit(flags) => catalogue_edit::run(context, &flags).await,
            CatalogueCmd::Validate(flags) => catalogue_validate::run(&flags, context.out),
            CatalogueCmd::Diff(flags) => catalogue_diff::run(context, &flags).await,
            CatalogueCmd::History(flags) => catalogue_history::run(context, &flags).await,
            CatalogueCmd::Undo(flags) => catalogue_undo::run(context, &flags).await,
            CatalogueCmd::Wait(flags) => catalogue_wait::run(context, &flags).await,
        },
        SiskinctlCmd::Fleet(_) => fleet::run(context).await,
        SiskinctlCmd::Node(_) => node::run(context).await,
        SiskinctlCmd::Database(flags) => database::run(context, &flags).await,
        SiskinctlCmd::Session(flags) => session::run(context, &flags).await,
        SiskinctlCmd::Drain(flags) => drain::run(context, &flags).await,
        SiskinctlCmd::Undrain(flags) => undrain::run(context, &flags).await,
        SiskinctlCmd::Audit(flags) => audit::run(context, &flags).await,
        SiskinctlCmd::Explain(flags) => explain::run(context, &flags).await,
        SiskinctlCmd::Demo(_) => Err(ExitError::Usage(
            "`demo` must be the first argument: siskinctl demo ...".into(),
        )),
    }
}
