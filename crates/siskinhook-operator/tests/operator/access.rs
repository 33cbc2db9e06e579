//! Authentication of the operator interface.

use crate::common::Node;
use indexmap::IndexMap;
use jsonrpsee::{
    core::{ClientError, client::ClientT, params::ArrayParams},
    http_client::{HeaderMap, HttpClient, HttpClientBuilder},
};
use serde_json::Value;
use siskinhook_operator::{Operators, codes};
use siskinhook_settings::{OperatorAccount, SecretSource};

fn client(node: &Node, header: Option<&str>) -> HttpClient {
    let mut headers = HeaderMap::new();
    if let Some(header) = header {
        headers.insert("authorization", header.parse().expect("a valid header"));
    }
    HttpClientBuilder::default()
        .set_headers(headers)
        .build(format!("http://{}", node.address))
        .expect("a valid address")
}

/// A method that does not check the identity would be open to everyone.
#[tokio::test]
async fn every_method_needs_a_valid_token() {
    let node = Node::start().await;
    let edit = serde_json::json!({
        "id": "e", "service": "s", "entry": null, "base": 0, "reason": "", "confirmed": true
    });
    let undo = serde_json::json!({ "id": "e", "revision": 1, "reason": "", "confirmed": true });
    let methods: [(&str, Vec<Value>); 13] = [
        ("status", vec![]),
        ("fleet", vec![]),
        ("revisions", vec![]),
        ("catalogue", vec![]),
        ("report", vec!["node".into()]),
        (
            "explain",
            vec![serde_json::json!({ "database": "d", "sql": "" })],
        ),
        ("entry", vec!["s".into()]),
        ("check", vec![edit.clone()]),
        ("edit", vec![edit]),
        ("undo", vec![undo]),
        ("history", vec!["s".into(), 1.into()]),
        ("audit", vec![serde_json::json!({ "limit": 1 })]),
        ("drain", vec!["entry-2".into(), true.into(), "".into()]),
    ];
    let headers = [
        None,
        Some("Bearer hetal:wrong"),
        Some("Bearer hetal:"),
        Some("Bearer nobody:secret-h"),
        Some("Bearer nobody:unknown operator"),
        Some("Bearer ante:secret-h"),
        Some("Basic hetal:secret-h"),
    ];
    for header in headers {
        let client = client(&node, header);
        for (method, parameters) in &methods {
            let mut array = ArrayParams::new();
            for parameter in parameters {
                array.insert(parameter).unwrap();
            }
            let method = format!("operator_{method}");
            let result: Result<Value, ClientError> = client.request(&method, array).await;
            let Err(ClientError::Call(error)) = result else {
                panic!("{method} with {header:?}: {result:?}");
            };
            assert_eq!(
                error.code(),
                codes::UNAUTHENTICATED,
                "{method} with {header:?}: {error}"
            );
        }
    }
    assert_eq!(node.view.0.lock().unwrap().draining.len(), 0);
    assert_eq!(node.platform.calls(), 0);
    let allowed = client(&node, Some("Bearer hetal:secret-h"));
    let status: Value = allowed
        .request("operator_status", ArrayParams::new())
        .await
        .unwrap();
    assert_eq!(status["node"], "entry-1");
}

#[test]
fn tokens_are_not_printed() {
    let account = OperatorAccount {
        partner: "sabarmati".into(),
        token: SecretSource::Demo("secret-h".into()),
    };
    let operators = Operators::read(&IndexMap::from([("hetal".into(), account)])).unwrap();
    assert!(operators.authenticate("Bearer hetal:secret-h").is_some());
    assert!(!format!("{operators:?}").contains("secret-h"));
}
