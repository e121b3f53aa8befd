//! `heathvale create`: creates the jobs of a file.

use std::net::SocketAddr;

use api::pb::CreateJobRequest;
use errors::Result;

use crate::cli::CreateOpts;
use crate::{change, files};

/// Creates the jobs of a file. The whole file is checked before the first job is created.
///
/// # Errors
/// All faults of the file, or the reason why the first of the jobs that failed was refused.
pub async fn run(instances: &[SocketAddr], opts: &CreateOpts) -> Result<()> {
    let text = files::read_text(&opts.file)?;
    let jobs = model::parse_jobs(&opts.file, &text)?;
    let key = opts.key.clone().unwrap_or_else(change::new_key);
    for (i, spec) in jobs.iter().enumerate() {
        let req = CreateJobRequest {
            request_key: format!("{key}/{i}").into(),
            job: api::convert::job_message(spec),
        };
        let call =
            async |op: api::Operator| op.create_job(&req).send().await.ok().map(|r| r.output);
        let version = change::submit(instances, spec.name.as_str(), call).await?;
        outln!("created {} at version {version}", spec.name);
    }
    Ok(())
}
