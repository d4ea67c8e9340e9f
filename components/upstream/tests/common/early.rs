//! Stand-in for a server that answers a request before it has read all of it. It runs in threads of
//! its own and uses blocking sockets.

#![allow(dead_code, reason = "no test file uses all of it")]

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::Arc,
    thread,
    time::Duration, //
};

/// Bytes of a body that a server reads where it reads some pieces of it.
const PIECES_BYTES: usize = 20 * 64 * 1024;

/// Time after an answer at which a server ends the connection.
const END_DELAY: Duration = Duration::from_millis(30);

/// Time for which a connection is held that a server closed on its side.
const HOLD_TIME: Duration = Duration::from_secs(3);

/// What a server reads of a body before it answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reads {
    /// Nothing.
    Nothing,
    /// Some pieces.
    Pieces,
    /// All but the last byte, which makes the system reset the connection when it is closed.
    Whole,
}

/// How a server ends the connection after its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// It resets it.
    Reset,
    /// It closes its sending side and reads no more.
    HalfClose,
    /// It closes its sending side, and resets the connection a little later.
    HalfCloseReset,
}

/// How a server answers early.
#[derive(Clone, Copy, Debug)]
pub struct Early {
    /// What it reads before.
    pub reads: Reads,
    /// Time after that at which it answers.
    pub delay: Duration,
    /// How the connection ends.
    pub end: End,
}

/// Starts a server. `script` returns the answer to a request by its head, and how it comes early; a
/// request that isn't answered early is read first, and its connection stays open.
pub fn start(
    script: impl Fn(&str) -> (String, Option<Early>) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let script = Arc::new(script);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { return };
            let script = script.clone();
            thread::spawn(move || serve(stream, &*script));
        }
    });
    address
}

fn serve(mut stream: TcpStream, script: &dyn Fn(&str) -> (String, Option<Early>)) -> Option<()> {
    loop {
        let head = read_head(&mut stream)?;
        let length = body_length(&head);
        let (answer, early) = script(&head);
        let Some(early) = early else {
            read_bytes(&mut stream, length)?;
            stream.write_all(answer.as_bytes()).ok()?;
            continue;
        };
        match early.reads {
            Reads::Nothing => {}
            Reads::Pieces => read_bytes(&mut stream, length.min(PIECES_BYTES))?,
            Reads::Whole => read_bytes(&mut stream, length.saturating_sub(1))?,
        }
        thread::sleep(early.delay);
        stream.write_all(answer.as_bytes()).ok()?;
        if early.end != End::Reset {
            stream.shutdown(Shutdown::Write).ok()?;
        }
        thread::sleep(END_DELAY);
        if early.end == End::HalfClose {
            thread::sleep(HOLD_TIME);
        }
        return None;
    }
}

fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

/// Returns the value of a header of a request.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    let found = lines.find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.trim())
}

fn body_length(head: &str) -> usize {
    let length = header(head, "content-length").and_then(|length| length.parse().ok());
    length.unwrap_or(0)
}

fn read_bytes(stream: &mut TcpStream, mut length: usize) -> Option<()> {
    let mut bytes = [0; 64 * 1024];
    while length > 0 {
        let count = length.min(bytes.len());
        stream.read_exact(&mut bytes[..count]).ok()?;
        length -= count;
    }
    Some(())
}
