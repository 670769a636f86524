//! A link between a node and the store that can be cut.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Passes connections on to the store. While it is cut with resets, open connections are closed, and new
/// ones are closed at once; while it is cut silently, nothing passes in either direction.
#[derive(Clone)]
pub struct StoreLink {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    is_silent: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl StoreLink {
    pub fn start(listener: TcpListener, store: SocketAddr) -> Self {
        let address = listener.local_addr().unwrap();
        let link = Self {
            address,
            is_cut: Arc::default(),
            is_silent: Arc::default(),
            streams: Arc::default(),
        };
        let accepting = link.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_cut.load(Ordering::Acquire) {
                    continue;
                }
                let Ok(target) = TcpStream::connect(store) else { continue };
                accepting.pass_on(stream, target);
            }
        });
        link
    }

    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::Release);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn cut_silently(&self) {
        self.is_silent.store(true, Ordering::Release);
    }

    pub fn heal(&self) {
        self.is_silent.store(false, Ordering::Release);
        self.is_cut.store(false, Ordering::Release);
    }

    fn pass_on(&self, stream: TcpStream, target: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = target.set_nodelay(true);
        let mut streams = self.streams.lock().unwrap();
        for (from, to) in [(&stream, &target), (&target, &stream)] {
            let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
            streams.push(from.try_clone().unwrap());
            let is_silent = Arc::clone(&self.is_silent);
            thread::spawn(move || {
                let mut buffer = vec![0; 65_536];
                while let Ok(count) = from.read(&mut buffer) {
                    while is_silent.load(Ordering::Acquire) {
                        thread::sleep(Duration::from_millis(5));
                    }
                    if count == 0 || to.write_all(&buffer[..count]).is_err() {
                        break;
                    }
                }
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
            });
        }
    }
}
