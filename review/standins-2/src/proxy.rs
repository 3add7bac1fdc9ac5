//! A proxy that cuts the path to another address.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};

#[derive(Default)]
struct State {
    is_cut: bool,
    /// Number of times that the open connections fell silent.
    silences: u32,
    /// Connections that are open.
    open: u32,
    /// Connections that were open during a cut, which end with it.
    held: Vec<TcpStream>,
}

/// A proxy on a loopback address; clones share it.
#[derive(Clone)]
pub struct Proxy {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Proxy {
    /// Starts a proxy that forwards connections to `target`.
    pub fn start(ip: Ipv4Addr, target: SocketAddr) -> Self {
        let listener = crate::listen(ip);
        let proxy = Self {
            addr: listener.local_addr().expect("an address"),
            state: Arc::default(),
        };
        let served = proxy.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = served.clone();
                std::thread::spawn(move || proxy.serve(stream, target));
            }
        });
        proxy
    }

    /// Cuts the path silently: no byte passes in either direction.
    pub fn cut(&self) {
        self.state.0.lock().expect("the proxy").is_cut = true;
    }

    /// Heals the cut; the connections that it held are reset or closed.
    pub fn heal(&self) {
        let mut state = self.state.0.lock().expect("the proxy");
        state.is_cut = false;
        for stream in state.held.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.state.1.notify_all();
    }

    /// Lets the connections that are open fall silent for good, without a reset; new ones work. Returns their number.
    pub fn silence(&self) -> u32 {
        let mut state = self.state.0.lock().expect("the proxy");
        state.silences += 1;
        std::mem::take(&mut state.open)
    }

    /// Waits while the path is cut; returns whether it was.
    fn wait(&self, stream: &TcpStream) -> bool {
        let mut state = self.state.0.lock().expect("the proxy");
        let was_cut = state.is_cut;
        if was_cut && let Ok(stream) = stream.try_clone() {
            state.held.push(stream);
        }
        while state.is_cut {
            state = self.state.1.wait(state).expect("the proxy");
        }
        was_cut
    }

    fn serve(&self, near: TcpStream, target: SocketAddr) {
        if self.wait(&near) {
            return;
        }
        let Ok(far) = TcpStream::connect(target) else {
            return;
        };
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let (Ok(near_in), Ok(far_in)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let silences = {
            let mut state = self.state.0.lock().expect("the proxy");
            state.open += 1;
            state.silences
        };
        let proxy = self.clone();
        std::thread::spawn(move || proxy.forward(far_in, near_in, silences));
        self.forward(near, far, silences);
        let mut state = self.state.0.lock().expect("the proxy");
        if state.silences == silences {
            state.open -= 1;
        }
    }

    fn forward(&self, mut from: TcpStream, mut to: TcpStream, silences: u32) {
        let mut buf = vec![0; 64 << 10];
        loop {
            let count = from.read(&mut buf).unwrap_or(0);
            if self.state.0.lock().expect("the proxy").silences != silences {
                // Nothing passes any more, not even the end of the connection.
                if count == 0 {
                    std::thread::sleep(std::time::Duration::from_secs(600));
                    return;
                }
                continue;
            }
            if self.wait(&from) || count == 0 || to.write_all(&buf[..count]).is_err() {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
