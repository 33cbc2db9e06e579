//! `siskinctl catalogue edit`: creates, changes or removes an entry.

use siskinhook_types::Revision;

use crate::{
    EditRequest, ExitError, OperatorApiClient,
    commands::{catalogue_show::BASE_PREFIX, catalogue_validate::read_entry, catalogue_wait},
    context::Context,
    flags,
};

pub async fn run(context: &mut Context<'_>, flags: &flags::Edit) -> Result<(), ExitError> {
    let (service, entry, stated) = match (&flags.file, &flags.remove) {
        (Some(file), None) => {
            let (text, entry) = read_entry(file)?;
            (entry.name.clone(), Some(entry), parse_base(&text)?)
        }
        (None, Some(service)) => (service.into(), None, None),
        _ => {
            return Err(ExitError::Usage(
                "give either a file or --remove SERVICE".into(),
            ));
        }
    };
    let Some(base) = flags.base.or(stated) else {
        return Err(ExitError::Usage(format!(
            "the base revision is not known; start the file with `{BASE_PREFIX}N` as `siskinctl \
             catalogue show {service}` writes it, or add --base N (0 for a new entry)"
        )));
    };
    let request = EditRequest {
        id: context.edit_id(flags.id.as_deref()).into(),
        service,
        entry,
        base,
        reason: flags.reason.clone().unwrap_or_default(),
        confirmed: flags.confirm,
    };
    let accepted = context
        .change(async |node| node.edit(request.clone()).await)
        .await?;
    print_accepted(context, &accepted, flags.wait).await
}

/// Prints the revision of an accepted edit; with `wait`, waits until it is in force on all live
/// nodes.
pub async fn print_accepted(
    context: &mut Context<'_>,
    accepted: &siskinhook_catalogue::Accepted,
    wait: bool,
) -> Result<(), ExitError> {
    context.show(accepted, |accepted| {
        let suffix = if accepted.repeated {
            " by an earlier attempt with the same id"
        } else {
            ""
        };
        format!("accepted as revision {}{suffix}", accepted.revision)
    })?;
    if wait {
        catalogue_wait::wait(context, accepted.revision, catalogue_wait::DEFAULT_TIMEOUT).await?;
    }
    Ok(())
}

/// Parses the base revision from the first line of a file, if it states one.
fn parse_base(text: &str) -> Result<Option<Revision>, ExitError> {
    let Some(number) = text
        .lines()
        .next()
        .and_then(|l| l.strip_prefix(BASE_PREFIX))
    else {
        return Ok(None);
    };
    number.trim().parse().map(Some).map_err(|_| {
        ExitError::Usage(format!(
            "line 1: {number:?} is not a revision; write {BASE_PREFIX}N"
        ))
    })
}
