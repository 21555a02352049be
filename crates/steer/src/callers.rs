//! Request path, from the connection of a caller to the answer.

pub mod accept;
mod attempt;
mod body;
mod carry;
mod crash;
mod encode;
mod forward;
mod handle;
mod homes;
mod receive;
mod refusal;
pub(crate) mod routing;
mod statement;
mod stream;

#[cfg(test)]
mod tests;
