//! The command `token`: generates or hashes an operator's token.

use eyre::Result;
use sha2::{Digest, Sha256};

use crate::failure::Failure;
use crate::operator_args::TokenArgs;

/// Generates a token or reads one from standard input, and prints its line for the settings.
pub(crate) fn run(args: &TokenArgs) -> Result<()> {
    let name = &args.operator;
    if name.is_empty() || name.contains([',', ':']) || name.contains(char::is_whitespace) {
        let message =
            format!("operator: expected a name without white space, ',' and ':', found {name:?}");
        return Err(Failure::Usage(message).into());
    }
    let token = match args.stdin {
        true => read_token()?,
        false => {
            let token = format!(
                "{:032x}{:032x}",
                rand::random::<u128>(),
                rand::random::<u128>()
            );
            println!("{token}");
            token
        }
    };
    println!("{name}:{}", sha256_hex(&token));
    Ok(())
}

fn read_token() -> Result<String> {
    let mut line = String::new();
    std::io::stdin().read_line(&mut line)?;
    let token = line.trim();
    match token.is_empty() {
        true => Err(Failure::Usage(
            "standard input: expected a token on the first line, found an empty line".into(),
        )
        .into()),
        false => Ok(token.to_string()),
    }
}

/// Returns the SHA-256 hash of a token in hexadecimal.
fn sha256_hex(token: &str) -> String {
    let hash = Sha256::digest(token);
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}
