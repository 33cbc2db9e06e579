//! A site of three nodes with steady writes at each, whose commits need a replica.

use std::{cell::Cell, rc::Rc, time::Duration};

use siskinhook_gateway::{Gateway, Instance, Session};
use siskinhook_types::Role;
use smol_str::format_smolstr;
use tokio::{
    task::{JoinHandle, spawn_local},
    time::{Instant, sleep},
};

use super::{FakeDialer, ask, crash, instance, restart, server, site::Site};

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
        let writer = spawn_local(write(gateway.clone(), self.told.clone()));
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
        let limit = Instant::now() + Duration::from_secs(5);
        loop {
            sleep(Duration::from_millis(5)).await;
            let ordered = self.site.orders.seen.borrow().first().cloned();
            if let Some(order) = ordered {
                return if order.server == "s1" { (1, 2) } else { (2, 1) };
            }
            assert!(Instant::now() < limit, "no promotion was ordered");
        }
    }

    /// Adds a fourth server, and lets no replica but the second one receive commits.
    pub async fn add_deaf_replicas(&self) {
        self.site.world.borrow_mut().push(server(Role::Replica));
        for node in &self.nodes {
            node.gateway.discover(instance(3, Role::Replica));
        }
        sleep(Duration::from_millis(300)).await;
        for index in [1, 3] {
            self.site.world.borrow_mut()[index].deaf = true;
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
            self.site.world.borrow_mut()[index].deaf = false;
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
        for node in &self.nodes {
            let mut session = Session::open(&node.gateway, "strong").expect("the route is known");
            let answer = ask(&mut session, "WRITE 1 a").await;
            assert!(answer.result.is_ok(), "{answer:?}");
        }
    }
}

/// Writes without end, and notes the positions of acknowledged commits.
async fn write(gateway: Rc<Gateway<FakeDialer>>, told: Rc<Cell<u64>>) {
    loop {
        let mut session = Session::open(&gateway, "strong").expect("the route is known");
        let answer = ask(&mut session, "WRITE 1 a").await;
        if let (Ok(_), Some(point)) = (answer.result, answer.point) {
            told.set(told.get().max(point.position));
        }
        sleep(Duration::from_millis(10)).await;
    }
}
