//! Home nodes of services and the answers to address questions.
