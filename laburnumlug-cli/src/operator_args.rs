//! Arguments of the commands for operators, and of `ask` and `token`.

use std::path::PathBuf;

use argh::FromArgs;

/// Addresses of the control replicas and the token for them, as given on the command line.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionArgs {
    pub(crate) control: Option<String>,
    pub(crate) token_file: Option<PathBuf>,
}

/// Defines the argument struct of a command that connects to the control replicas, including the options that all such
/// commands share.
macro_rules! control_client_command {
    ($(#[$attribute:meta])* $name:ident { $($fields:tt)* }) => {
        #[derive(Debug, FromArgs)]
        $(#[$attribute])*
        pub(crate) struct $name {
            $($fields)*

            /// operator addresses of control processes, separated by commas; if one does not answer,
            /// the next is tried, and redirects to a replica are followed (default LABURNUMLUG_CONTROL, else 127.0.0.1:7401)
            #[argh(option)]
            pub(crate) control: Option<String>,

            /// file that holds the operator's token (default LABURNUMLUG_TOKEN, else the token dev)
            #[argh(option)]
            pub(crate) token_file: Option<PathBuf>,
        }

        impl $name {
            pub(crate) fn connection(&self) -> ConnectionArgs {
                ConnectionArgs {
                    control: self.control.clone(),
                    token_file: self.token_file.clone(),
                }
            }
        }
    };
}

/// Print, check or replace the fleet document.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fleet")]
pub(crate) struct FleetArgs {
    #[argh(subcommand)]
    pub(crate) command: FleetCommand,
}

/// Subcommand of `fleet`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum FleetCommand {
    Apply(ApplyArgs),
    Check(CheckArgs),
    Diff(DiffArgs),
    Show(ShowArgs),
    Template(TemplateArgs),
}

/// Check a document for faults, without connecting to a control replica.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} fleet.json",
    example = "laburnumlug fleet template | {command_name} /dev/stdin",
    error_code(2, "the document has faults; all of them are printed")
)]
pub(crate) struct CheckArgs {
    /// path of the document
    #[argh(positional)]
    pub(crate) file: PathBuf,

    /// print the validation faults as JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Print a small example document as a starting point.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "template", example = "{command_name} > fleet.json")]
pub(crate) struct TemplateArgs {}

control_client_command! {
    /// Print the document in force to standard output and its version to standard error.
    #[argh(
        subcommand,
        name = "show",
        example = "{command_name} > fleet.json",
        example = "{command_name} --json"
    )]
    ShowArgs {
        /// print version and document as one JSON object
        #[argh(switch)]
        pub(crate) json: bool,

        /// print the hashes of customers' keys and the text that the document was translated from, as needed to edit a
        /// document that lists customers; without it only their number and size
        #[argh(switch)]
        pub(crate) with_keys: bool,
    }
}

control_client_command! {
    /// Print the differences between a document and the one in force.
    #[argh(
        subcommand,
        name = "diff",
        example = "{command_name} fleet.json",
        error_code(2, "the document has faults; all of them are printed")
    )]
    DiffArgs {
        /// path of the document
        #[argh(positional)]
        pub(crate) file: PathBuf,

        /// print version, faults and differences as JSON
        #[argh(switch)]
        pub(crate) json: bool,
    }
}

control_client_command! {
    /// Replace the document in force. If a response is lost, the request is sent again; the change is made only once.
    #[argh(
        subcommand,
        name = "apply",
        example = "{command_name} --base 7 fleet.json",
        example = "{command_name} --force-base fleet.json",
        error_code(2, "the document has faults; nothing was changed"),
        error_code(3, "another change came first; nothing was changed"),
        error_code(4, "the outcome is unknown; apply again with the same --base and --key")
    )]
    ApplyArgs {
        /// path of the document
        #[argh(positional)]
        pub(crate) file: PathBuf,

        /// version on which the document is based, as printed by `fleet show`
        #[argh(option)]
        pub(crate) base: Option<u64>,

        /// replace the version in force, even one that you have not seen
        #[argh(switch)]
        pub(crate) force_base: bool,

        /// idempotency key of the submission; give that of an earlier one to obtain its outcome (default random)
        #[argh(option)]
        pub(crate) key: Option<String>,

        /// print the outcome as JSON
        #[argh(switch)]
        pub(crate) json: bool,
    }
}

control_client_command! {
    /// Drain a target: it finishes its requests and gets no new ones. This changes the document in force.
    #[argh(
        subcommand,
        name = "drain",
        example = "{command_name} skriver-4",
        example = "{command_name} --cancel skriver-4",
        error_code(2, "there is no such target, or the document would have faults"),
        error_code(3, "another change came first; nothing was changed"),
        error_code(4, "the outcome is unknown; see `laburnumlug status`")
    )]
    DrainArgs {
        /// name of the target
        #[argh(positional)]
        pub(crate) target: String,

        /// cancel the drain, so that the target serves again
        #[argh(switch)]
        pub(crate) cancel: bool,

        /// print the outcome as JSON
        #[argh(switch)]
        pub(crate) json: bool,
    }
}

/// Manage the control replicas.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "control")]
pub(crate) struct ControlArgs {
    #[argh(subcommand)]
    pub(crate) command: ControlCommand,
}

/// Subcommand of `control`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum ControlCommand {
    Replace(ReplaceArgs),
}

control_client_command! {
    /// Replace one control replica by another in the document. The replicas find each other by their settings,
    /// which have to be changed as well; see docs/OPERATIONS.md.
    #[argh(
        subcommand,
        name = "replace",
        example = "{command_name} control-2 --name control-4 --address 10.0.2.9:7410",
        error_code(2, "there is no such replica, or the document would have faults"),
        error_code(3, "another change came first; nothing was changed"),
        error_code(4, "the outcome is unknown; see `laburnumlug status`")
    )]
    ReplaceArgs {
        /// name of the replica to replace
        #[argh(positional)]
        pub(crate) replica: String,

        /// name of the new replica
        #[argh(option)]
        pub(crate) name: String,

        /// address of the new replica for connections of other laburnumlug processes, as IP:PORT
        #[argh(option)]
        pub(crate) address: String,

        /// availability zone of the new replica (default that of the replaced one)
        #[argh(option)]
        pub(crate) zone: Option<String>,

        /// print the outcome as JSON
        #[argh(switch)]
        pub(crate) json: bool,
    }
}

control_client_command! {
    /// Show the control replicas, and the targets with their state, role and document version.
    #[argh(
        subcommand,
        name = "status",
        example = "{command_name}",
        example = "{command_name} --watch"
    )]
    StatusArgs {
        /// refresh every two seconds until Ctrl-C
        #[argh(switch)]
        pub(crate) watch: bool,

        /// print JSON; with --watch, one object per line
        #[argh(switch)]
        pub(crate) json: bool,
    }
}

control_client_command! {
    /// Print the audit trail of submitted documents, role changes and orders.
    #[argh(
        subcommand,
        name = "audit",
        example = "{command_name} --since 2h",
        example = "{command_name} --operator anna --result conflict --json"
    )]
    AuditArgs {
        /// only records of this operator
        #[argh(option)]
        pub(crate) operator: Option<String>,

        /// only records with this result: accepted, conflict, invalid,
        /// key-reused, role-changed, role-refused or order
        #[argh(option)]
        pub(crate) result: Option<String>,

        /// only records of this last period, such as 30m, 2h or 7days
        #[argh(option)]
        pub(crate) since: Option<String>,

        /// only records with a higher number than this
        #[argh(option)]
        pub(crate) after: Option<u64>,

        /// maximum number of records, of which the newest are printed (default 100)
        #[argh(option, default = "100")]
        pub(crate) limit: u64,

        /// print the records as JSON lines
        #[argh(switch)]
        pub(crate) json: bool,
    }
}

/// Send one completion request to an entry and print the response as it arrives.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "ask",
    example = "{command_name} --model digest \"When is the tea dance?\"",
    error_code(1, "the request was refused and did not run"),
    error_code(4, "the response is incomplete; the request may have run")
)]
pub(crate) struct AskArgs {
    /// the prompt
    #[argh(positional)]
    pub(crate) prompt: String,

    /// name of the model
    #[argh(option)]
    pub(crate) model: String,

    /// caller address of an entry (default 127.0.0.1:7400)
    #[argh(option, default = "\"127.0.0.1:7400\".to_string()")]
    pub(crate) entry: String,

    /// maximum number of tokens to generate (default 128)
    #[argh(option, default = "128")]
    pub(crate) max_tokens: u64,

    /// deadline for the complete response, in milliseconds from now
    #[argh(option)]
    pub(crate) deadline_ms: Option<u64>,

    /// print the events as JSON lines
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Generate an operator's token and its line for the setting `tokens`.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "token",
    example = "{command_name} anna",
    note = "The token is printed on the first line and cannot be shown again: the settings hold only its hash."
)]
pub(crate) struct TokenArgs {
    /// name of the operator, as shown in the audit trail
    #[argh(positional)]
    pub(crate) operator: String,

    /// read the token from standard input instead of generating one, and print only the line for the settings
    #[argh(switch)]
    pub(crate) stdin: bool,
}
