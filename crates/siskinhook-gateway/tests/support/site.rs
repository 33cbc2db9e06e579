//! A site of several nodes that replace lost primaries of the in-memory group.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use siskinhook_gateway::{Gateway, GatewaySettings, Instance, Peer, Session, watch_group};
use siskinhook_types::Role;
use tokio::{
    task::{JoinHandle, spawn_local},
    time::sleep,
};

use super::{Entries, FakeDialer, FakeOrders, Table, World, ask, node_knowing, world};

/// Servers, table and orders that several nodes share.
pub struct Site {
    pub world: World,
    pub table: Table,
    pub orders: FakeOrders,
    /// Entries that the nodes read before they replace a primary.
    pub entries: Rc<RefCell<Vec<Instance>>>,
    pub seed: u64,
    /// Tasks of the nodes that replace primaries, by node.
    controllers: RefCell<HashMap<String, JoinHandle<()>>>,
}

impl Site {
    pub fn new(seed: u64) -> Self {
        println!("seed {seed}");
        let world = world();
        let orders = FakeOrders::new(&world);
        Self {
            world,
            table: Table::default(),
            orders,
            entries: Rc::default(),
            seed,
            controllers: RefCell::default(),
        }
    }

    pub fn start(&self, name: &str) -> Rc<Gateway<FakeDialer>> {
        self.start_knowing(name, &[0, 1, 2])
    }

    /// Starts a node that knows only some servers.
    pub fn start_knowing(&self, name: &str, servers: &[usize]) -> Rc<Gateway<FakeDialer>> {
        let number = name.bytes().map(u64::from).sum::<u64>();
        let seed = self.seed * 1000 + number;
        let settings = GatewaySettings {
            replace_primaries: true,
            ..GatewaySettings::default()
        };
        let gateway = node_knowing(name, &self.world, seed, settings, servers);
        // Each node is the only one that it knows, so all of them record servers.
        gateway.fleet.set_peers(vec![Peer {
            name: name.into(),
            zone: "z".into(),
            address: ([127, 0, 0, 1], 1).into(),
        }]);
        let group = gateway.group(&"svc".into()).expect("the service is known");
        let entries = Entries {
            gateway: gateway.clone(),
            instances: self.entries.clone(),
        };
        let controller = spawn_local(watch_group(
            gateway.clone(),
            group,
            self.table.clone(),
            entries,
            Rc::new(self.orders.clone()),
        ));
        self.controllers
            .borrow_mut()
            .insert(name.into(), controller);
        gateway
    }

    /// Stops a node's controller, as if its process had been killed.
    pub fn stop_controller(&self, name: &str) {
        self.controllers.borrow()[name].abort();
    }

    pub fn primaries(&self) -> Vec<usize> {
        let world = self.world.borrow();
        (0..3)
            .filter(|i| world[*i].reachable && world[*i].role == Role::Primary)
            .collect()
    }
}

/// Writes through each node every 100 ms, so that the nodes notice a failure.
pub async fn write_for(gateways: &[Rc<Gateway<FakeDialer>>], rounds: u32) {
    for _ in 0..rounds {
        for gateway in gateways {
            let gateway = gateway.clone();
            spawn_local(async move {
                let mut session = Session::open(&gateway, "strong").expect("the route is known");
                ask(&mut session, "WRITE 1 a").await;
            });
        }
        sleep(Duration::from_millis(100)).await;
    }
}
