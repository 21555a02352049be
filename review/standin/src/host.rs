//! Entry hosts: the program of the deploy file as a separate process, with the settings of a small deployment.

use std::{
    fs::{self, File},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command},
};

/// Zones of the stand-in's deployment, with their regions.
pub const ZONES: [(&str, &str); 6] = [
    ("ee-north-a", "ee-north"),
    ("ee-north-b", "ee-north"),
    ("fi-south-a", "fi-south"),
    ("fi-south-b", "fi-south"),
    ("de-central-a", "de-central"),
    ("de-central-b", "de-central"),
];

/// A running entry host. Dropping it kills the process.
pub struct Host {
    pub ip: IpAddr,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    child: Child,
}

impl Host {
    /// Starts host number `number` in a zone, with its files in `folder`.
    pub fn start(
        folder: &Path,
        number: u8,
        zone: &str,
        store: SocketAddr,
        grace_s: u32,
    ) -> io::Result<Self> {
        let ip = address(number);
        // All ports are taken before the first one is free again, so that they differ.
        let taken = [(); 5].map(|()| TcpListener::bind((ip, 0)));
        let mut ports = taken.iter().flatten().filter_map(|listener| listener.local_addr().ok());
        let mut next = || ports.next().ok_or_else(|| io::Error::other("no free port"));
        let (callers, lookup, readiness, peers, metrics) =
            (next()?, next()?, next()?, next()?, next()?);
        drop(taken);
        let region = ZONES.iter().find(|(name, _)| *name == zone).map_or("", |(_, region)| region);
        let mut text = format!(
            "[host]\nname = \"edge-{zone}-{number}\"\nregion = \"{region}\"\n\
             failure_domain = \"{zone}\"\n"
        );
        for (name, region) in ZONES {
            text.push_str(&format!(
                "[[failure_domain]]\nname = \"{name}\"\nregion = \"{region}\"\n"
            ));
        }
        text.push_str(&format!(
            "[listen]\ncallers = \"{callers}\"\nlookup = \"{lookup}\"\n\
             readiness = \"{readiness}\"\npeers = \"{peers}\"\nmetrics = \"{metrics}\"\n\
             [limits]\nmemory_mb = 260\ndescriptors = 4100\nlink_mbps = 1000\n\
             [store]\naddress = \"{store}\"\nconfiguration_time = \"2500ms\"\n\
             drain_time = \"2500ms\"\n[stop]\ngrace = \"{grace_s}s\"\n\
             [lookup]\nlongest_lifetime = \"5s\"\n\
             [rates]\nwindow = \"5s\"\noverage = 0.1\nslack = 20\n\
             [retries]\nratio = 0.2\nwindow = \"10s\"\nallowance = 56\n"
        ));
        let settings = folder.join(format!("edge-{number}.toml"));
        fs::write(&settings, text)?;
        let log = File::create(folder.join(format!("edge-{number}.log")))?;
        let child = Command::new(program()).arg(&settings).stdout(log).spawn()?;
        Ok(Self { ip, callers, readiness, child })
    }

    /// Sends the process a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let command = format!("kill -{name} {}", self.child.id());
        Command::new("bash").args(["-c", &command]).status().map(drop)
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Address of host number `number`, which no other run uses at the same time.
pub fn address(number: u8) -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 64 + high % 128, low, 10 + number))
}

/// Path of the program of the deploy file, from the folder that the script starts in.
fn program() -> PathBuf {
    PathBuf::from("target/release/marjorampick-platform")
}
