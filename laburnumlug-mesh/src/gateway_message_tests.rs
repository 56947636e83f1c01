use super::*;

/// First message of the version before, which names no control replicas.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
enum EarlierMessage {
    Hello {
        sender: u64,
        session: u64,
        forwards: bool,
    },
}

fn recode<T, U>(message: &T) -> U
where
    T: Serialize,
    U: serde::de::DeserializeOwned,
{
    let mut buf = Vec::new();
    ciborium::into_writer(message, &mut buf).unwrap();
    ciborium::from_reader(buf.as_slice()).unwrap()
}

/// Gateways of both versions run side by side during an upgrade.
#[test]
fn hello_of_earlier_version() {
    let hello = |control| GatewayMessage::Hello {
        sender: 1,
        session: 2,
        forwards: true,
        control,
    };
    let earlier = EarlierMessage::Hello {
        sender: 1,
        session: 2,
        forwards: true,
    };
    assert_eq!(recode::<_, GatewayMessage>(&earlier), hello(Vec::new()));
    let control = vec!["10.0.0.1:7410".parse().unwrap()];
    assert_eq!(
        recode::<_, EarlierMessage>(&hello(control.clone())),
        earlier
    );
    assert_eq!(
        recode::<_, GatewayMessage>(&hello(control.clone())),
        hello(control)
    );
}
