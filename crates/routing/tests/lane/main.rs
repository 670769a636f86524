//! Rules of the lanes: who is called, what is not called, and what is kept of upstreams.

mod call_pace;
mod choice;
mod connections;
mod fixtures;
mod overload;
mod registry;
mod retry_window;
mod spent_marks;
mod waiting_order;
