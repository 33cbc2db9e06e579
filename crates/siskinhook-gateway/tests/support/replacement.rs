//! A site of three nodes with steady writes at each, whose commits need a replica.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use siskinhook_gateway::{Gateway, Instance, Peer, Session};
use siskinhook_types::{LogPoint, Role};
use smol_str::format_smolstr;
use tokio::{
    task::{JoinHandle, spawn_local},
    time::{Instant, sleep},
};

use super::{
    DATABASES, FakeDialer, RELAY_PORTS, ask, configuration, crash, far_future, instance, restart,
    server, site::Site,
};

/// Time from an order to its effect.
pub const PROMOTION_TIME: Duration = Duration::from_secs(1);

/// Time without a sign of life after which the entry of a server is removed.
const HEARTBEAT_LIMIT: Duration = Duration::from_secs(3);

/// A site of three nodes with steady writes at each, whose commits need a replica.
pub struct Replacement {
    pub site: Site,
    pub nodes: Vec<Node>,
    /// Highest log position of a commit that a caller was told of.
    pub told: Rc<Cell<u64>>,
    /// All commits that a caller was told of.
    pub commits: Rc<RefCell<Vec<LogPoint>>>,
}

/// A node and the task that writes through it.
pub struct Node {
    pub gateway: Rc<Gateway<FakeDialer>>,
    writer: JoinHandle<()>,
}

impl Replacement {
    pub async fn start(seed: u64) -> Self {
        let site = Site::new(seed);
        site.orders.delay.set(PROMOTION_TIME);
        for server in site.world.borrow_mut().iter_mut() {
            server.sync_replicas = 1;
        }
        let nodes = Vec::new();
        let mut replacement = Self {
            site,
            nodes,
            told: Rc::default(),
            commits: Rc::default(),
        };
        for name in ["n1", "n2", "n3"] {
            replacement.add_node(name);
        }
        sleep(Duration::from_secs(1)).await;
        replacement
    }

    pub fn add_node(&mut self, name: &str) {
        self.add_node_knowing(name, &[0, 1, 2]);
    }

    /// Starts a node that knows only some servers.
    pub fn add_node_knowing(&mut self, name: &str, servers: &[usize]) {
        let gateway = self.site.start_knowing(name, servers);
        let writer = spawn_local(write(
            gateway.clone(),
            self.told.clone(),
            self.commits.clone(),
        ));
        self.nodes.push(Node { gateway, writer });
    }

    /// Stops a node, as if its process had been killed.
    pub fn kill_node(&mut self, name: &str) {
        self.site.stop_controller(name);
        for node in self.nodes.extract_if(.., |node| node.gateway.node == name) {
            node.writer.abort();
        }
    }

    /// Kills all nodes, and starts others that know only some servers.
    pub fn restart_nodes(&mut self, servers: &[usize]) {
        for node in ["n1", "n2", "n3"] {
            self.kill_node(node);
        }
        for node in ["n4", "n5", "n6"] {
            self.add_node_knowing(node, servers);
        }
    }

    /// Takes the primary down until its replacement is ordered. Returns the server that was ordered
    /// to lead and the other replica.
    pub async fn lose_primary(&self) -> (usize, usize) {
        crash(&self.site.world, 0);
        self.wait_for_order(Duration::from_secs(5)).await
    }

    /// Lets the primary handle nothing until its replacement is ordered, and then what it received
    /// meanwhile. Returns the server that was ordered to lead and the other replica.
    pub async fn silence_primary(&self) -> (usize, usize) {
        self.site.world.borrow_mut()[0].unresponsive = true;
        let servers = self.wait_for_order(Duration::from_secs(20)).await;
        self.site.world.borrow_mut()[0].unresponsive = false;
        servers
    }

    /// Waits for the first promotion order. Returns the server that it names and the other replica.
    pub async fn wait_for_order(&self, limit: Duration) -> (usize, usize) {
        let limit = Instant::now() + limit;
        loop {
            sleep(Duration::from_millis(5)).await;
            let ordered = self.site.orders.seen.borrow().first().cloned();
            if let Some(order) = ordered {
                return if order.server == "s1" { (1, 2) } else { (2, 1) };
            }
            assert!(Instant::now() < limit, "no promotion was ordered");
        }
    }

    /// Lets one node hold the connections to each server, so that the others go through it.
    pub fn relay_statements(&self) {
        let peer = |(index, node): (u16, &Node)| Peer {
            name: node.gateway.node.clone(),
            zone: "z".into(),
            address: ([127, 0, 0, 1], RELAY_PORTS + index).into(),
        };
        let peers: Vec<Peer> = (0_u16..).zip(&self.nodes).map(peer).collect();
        for node in &self.nodes {
            node.gateway.fleet.set_peers(peers.clone());
            let mut configuration = configuration(2, &DATABASES);
            for service in configuration.services.values_mut() {
                service.connections = 6;
            }
            node.gateway.configure(configuration, "test");
        }
    }

    /// Starts a server whose entry all nodes read at once.
    pub fn start_server(&self) {
        let index = self.site.world.borrow().len();
        self.site.world.borrow_mut().push(server(Role::Replica));
        for node in &self.nodes {
            node.gateway.discover(instance(index, Role::Replica));
        }
    }

    /// Opens a transaction through each node and runs its first statement. The connections of these
    /// transactions show later for how long the primary's process has been running.
    pub async fn open_transactions(&self, first: &str) -> Vec<Session<FakeDialer>> {
        let mut sessions = Vec::new();
        for node in &self.nodes {
            let mut session = Session::open(&node.gateway, "strong").expect("the route is known");
            for text in ["BEGIN", first] {
                let answer = ask(&mut session, text).await;
                assert!(answer.result.is_ok(), "{answer:?}");
            }
            sessions.push(session);
        }
        sessions
    }

    /// Ends the steady writes.
    pub fn stop_writers(&mut self) {
        for node in &self.nodes {
            node.writer.abort();
        }
    }

    /// Returns how many commits that callers were told of are missing at the servers promoted later.
    pub fn lost(&self) -> usize {
        let ends = self.site.orders.ends.borrow();
        let is_lost = |commit: &&LogPoint| {
            let mut later = ends.iter().filter(|end| end.term > commit.term);
            later.any(|end| end.position < commit.position)
        };
        self.commits.borrow().iter().filter(is_lost).count()
    }

    /// Checks that no commit that a caller was told of is missing at the new primary, and that it
    /// serves. The primary itself may have acknowledged further ones.
    pub async fn check_told(&self) {
        sleep(PROMOTION_TIME * 3).await;
        assert_eq!(self.lost(), 0, "commits lost");
        self.check_service().await;
    }

    /// Adds a fourth server, and lets no replica but the second one receive commits.
    pub async fn add_deaf_replicas(&self) {
        self.site.world.borrow_mut().push(server(Role::Replica));
        for node in &self.nodes {
            node.gateway.discover(instance(3, Role::Replica));
        }
        sleep(Duration::from_millis(300)).await;
        for index in [1, 3] {
            self.site.world.borrow_mut()[index].deaf_until = Some(far_future());
        }
        sleep(Duration::from_millis(500)).await;
        let held = self.site.world.borrow()[1].received;
        assert!(self.told.get() > held, "commits rest on one replica");
    }

    /// Takes the primary and the only replica that received commits down until their entries are gone.
    pub async fn lose_holders(&self) {
        for index in [0, 2] {
            crash(&self.site.world, index);
        }
        for index in [1, 3] {
            self.site.world.borrow_mut()[index].deaf_until = None;
        }
        sleep(HEARTBEAT_LIMIT).await;
        for node in &self.nodes {
            node.gateway.forget(&"s0".into());
            node.gateway.forget(&"s2".into());
        }
    }

    /// Starts a server again under a new id, with the log that it had.
    pub fn return_restarted(&self, index: usize) {
        let id = format_smolstr!("s{index}b");
        let role = {
            let mut world = self.site.world.borrow_mut();
            world[index].id = Some(id.clone());
            world[index].role
        };
        restart(&self.site.world, index);
        for node in &self.nodes {
            node.gateway.discover(Instance {
                id: id.clone(),
                started: 2,
                ..instance(index, role)
            });
        }
    }

    /// Starts a server again under its id without its log.
    pub fn return_without_log(&self, index: usize) {
        {
            let server = &mut self.site.world.borrow_mut()[index];
            server.role = Role::Replica;
            server.position = 0;
            server.received = 0;
        }
        restart(&self.site.world, index);
        for node in &self.nodes {
            node.gateway.discover(Instance {
                started: 2,
                ..instance(index, Role::Replica)
            });
        }
    }

    /// Checks that no acknowledged commit is missing at the new primary, and that it serves.
    pub async fn check(&self) {
        sleep(PROMOTION_TIME * 3).await;
        assert_eq!(self.site.orders.missing.get(), 0, "missing commits");
        assert_eq!(self.lost(), 0, "commits lost");
        self.check_service().await;
    }

    async fn check_service(&self) {
        for node in &self.nodes {
            let mut session = Session::open(&node.gateway, "strong").expect("the route is known");
            let answer = ask(&mut session, "WRITE 1 a").await;
            assert!(answer.result.is_ok(), "{answer:?}");
        }
    }
}

/// Writes without end, and notes the positions of acknowledged commits.
async fn write(
    gateway: Rc<Gateway<FakeDialer>>,
    told: Rc<Cell<u64>>,
    commits: Rc<RefCell<Vec<LogPoint>>>,
) {
    loop {
        let mut session = Session::open(&gateway, "strong").expect("the route is known");
        let answer = ask(&mut session, "WRITE 1 a").await;
        if let (Ok(_), Some(point)) = (answer.result, answer.point) {
            told.set(told.get().max(point.position));
            commits.borrow_mut().push(point);
        }
        sleep(Duration::from_millis(10)).await;
    }
}
