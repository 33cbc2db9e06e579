//! `siskinctl undrain`: tells a draining node to serve again.

use crate::{ExitError, commands::drain::request, context::Context, flags};

pub async fn run(context: &mut Context<'_>, flags: &flags::Undrain) -> Result<(), ExitError> {
    request(context, &flags.name, false, flags.reason.as_deref()).await
}
