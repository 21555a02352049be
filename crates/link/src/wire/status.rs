//! Status codes of HTTP. The type of the library takes any number from 100 to 999.

use http::StatusCode;

/// Whether a final response may have this status. A response with another one is no answer, as nobody can tell
/// what became of the request; 101 would answer a request to switch protocols, which is never passed on.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
