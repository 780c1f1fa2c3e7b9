//! Which replies of HTTP servers are believed, by their status.
//!
//! The HTTP client takes each status from 100 to 999, though HTTP has none above 599, and reports those from 400 to 599 as
//! errors if it is told to.

use staircross_http::STATUSES;
use ureq::Error;
use ureq::http::Response;

/// Returns a reply whose status is a success.
///
/// # Errors
///
/// Returns an error with the status of any other reply.
pub(crate) fn require_success<T>(response: Response<T>) -> Result<Response<T>, Error> {
    let status = response.status();
    if status.is_success() { Ok(response) } else { Err(Error::StatusCode(status.as_u16())) }
}

/// Returns a reply whose status is final and one that HTTP has.
///
/// # Errors
///
/// Returns an error with the status of any other reply.
pub(crate) fn require_final<T>(response: Response<T>) -> Result<Response<T>, Error> {
    let status = response.status();
    let is_final = !status.is_informational() && STATUSES.contains(&status.as_u16());
    if is_final { Ok(response) } else { Err(Error::StatusCode(status.as_u16())) }
}
