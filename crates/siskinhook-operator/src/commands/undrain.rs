//! `siskinctl undrain`: tells a draining node to serve again.

use crate::{ExitError, commands::drain::send_drain, context::Context, flags};

pub async fn run(context: &mut Context<'_>, flags: &flags::Undrain) -> Result<(), ExitError> {
    send_drain(context, &flags.name, false, flags.reason.as_deref()).await
}
