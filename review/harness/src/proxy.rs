//! A TCP proxy whose links can be cut: nothing passes, and nothing is reset.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("proxy listens");
        let address = listener.local_addr().expect("proxy address");
        let is_cut = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&is_cut);
        thread::spawn(move || {
            for inner in listener.incoming().flatten() {
                let flag = Arc::clone(&flag);
                thread::spawn(move || {
                    wait(&flag);
                    let Ok(outer) = TcpStream::connect(target) else {
                        return;
                    };
                    let _ = (inner.set_nodelay(true), outer.set_nodelay(true));
                    let (Ok(inner_copy), Ok(outer_copy)) = (inner.try_clone(), outer.try_clone())
                    else {
                        return;
                    };
                    let back = Arc::clone(&flag);
                    thread::spawn(move || pump(outer_copy, inner_copy, &back));
                    pump(inner, outer, &flag);
                });
            }
        });
        Self { address, is_cut }
    }

    /// Cuts the links, or heals them; what was held up is passed on then.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn wait(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(5));
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut buffer = [0; 65_536];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        wait(is_cut);
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
            return;
        }
    }
}
