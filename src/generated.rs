#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "An adapter that is loaded beside its model."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    pub model: ::std::string::String,
    pub name: ::std::string::String,
}
#[doc = "How a target process decides whether to take a request: by free capacity alone, or by whether every answer can be whole before its deadline."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum AdmissionPolicy {
    #[serde(rename = "capacity")]
    Capacity,
    #[serde(rename = "deadline")]
    Deadline,
}
impl ::std::fmt::Display for AdmissionPolicy {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Capacity => f.write_str("capacity"),
            Self::Deadline => f.write_str("deadline"),
        }
    }
}
impl ::std::str::FromStr for AdmissionPolicy {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "capacity" => Ok(Self::Capacity),
            "deadline" => Ok(Self::Deadline),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for AdmissionPolicy {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for AdmissionPolicy {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "What a caller may send, and how long it may take."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    #[serde(default = "defaults::default_u64::<u64, 4194304>")]
    pub body_bytes: u64,
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 32768>")]
    pub header_bytes: ::std::num::NonZeroU64,
    #[doc = "Time for a request's head, in milliseconds."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 10000>")]
    pub header_ms: ::std::num::NonZeroU64,
    #[doc = "Time that a connection may stay idle, in milliseconds."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 15000>")]
    pub idle_ms: ::std::num::NonZeroU64,
}
impl ::std::default::Default for CallerLimits {
    fn default() -> Self {
        Self {
            body_bytes: defaults::default_u64::<u64, 4194304>(),
            header_bytes: defaults::default_nzu64::<::std::num::NonZeroU64, 32768>(),
            header_ms: defaults::default_nzu64::<::std::num::NonZeroU64, 10000>(),
            idle_ms: defaults::default_nzu64::<::std::num::NonZeroU64, 15000>(),
        }
    }
}
#[doc = "A replica of the control log."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ControlVm {
    #[doc = "Address of the replica, as IP:PORT."]
    pub address: ::std::string::String,
    pub name: ::std::string::String,
    pub zone: ::std::string::String,
}
#[doc = "A customer and the API keys of its requests."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    #[doc = "SHA-256 of each key, in lower-case hexadecimal."]
    pub keys: ::std::vec::Vec<::std::string::String>,
    pub name: ::std::string::String,
    #[doc = "Urgency of the customer's requests in place of their routes' ranks; 0 is the most urgent."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub rank: ::std::option::Option<u32>,
}
#[doc = "What is common to the engines of a service."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineTraits {
    #[doc = "How long an engine keeps a prompt that it read for another engine, in milliseconds."]
    #[serde(default)]
    pub handle_ms: u64,
    #[doc = "Rate at which KV cache moves between two engines, in megabits a second; 0 if it does not move."]
    #[serde(default = "defaults::engine_traits_link_mbps")]
    pub link_mbps: f64,
    #[doc = "Tokens that one engine's KV cache holds."]
    pub memory_tokens: ::std::num::NonZeroU64,
    #[doc = "Requests that one engine processes at once."]
    pub slots: ::std::num::NonZeroU32,
    #[doc = "Size of one token in the KV cache, in bytes."]
    pub token_bytes: u64,
}
#[doc = "The fleet as its operators intend it: what runs where, in which role, and under which policy."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FleetDocument {
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub adapters: ::std::vec::Vec<Adapter>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub caller_limits: ::std::option::Option<CallerLimits>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub control: ::std::vec::Vec<ControlVm>,
    #[doc = "Customers whose keys requests carry; without a list, requests need no key."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub customers: ::std::option::Option<::std::vec::Vec<Customer>>,
    pub models: ::std::vec::Vec<Model>,
    #[doc = "Name of the deployment."]
    pub name: ::std::string::String,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub origin: ::std::option::Option<Origin>,
    #[doc = "Requests that are forwarded unchanged to the live targets of a service."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub routes: ::std::vec::Vec<Route>,
    pub services: ::std::vec::Vec<Service>,
    pub targets: ::std::vec::Vec<Target>,
}
#[doc = "What forwarding needs to know of a service whose targets are discovered."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Forwarding {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub engine: ::std::option::Option<EngineTraits>,
    #[doc = "Path of the health check."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub health_path: ::std::option::Option<::std::string::String>,
    #[doc = "Connections that one target accepts from all callers together."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub max_connections: ::std::option::Option<::std::num::NonZeroU32>,
}
#[doc = "One version of a model on a target."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LoadedModel {
    pub model: ::std::string::String,
    pub version: ::std::string::String,
}
#[doc = "A model that engines may load."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Model {
    pub name: ::std::string::String,
    pub versions: ::std::vec::Vec<::std::string::String>,
    #[doc = "Size of one version's weights in bytes."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub weight_bytes: ::std::option::Option<u64>,
}
#[doc = "The document of another system from which this one was translated."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Origin {
    #[doc = "Its version there; a higher one replaces a lower one."]
    pub number: u64,
    #[doc = "Its text as it was submitted."]
    pub text: ::std::string::String,
}
#[doc = "Parameters of the decisions for one service."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    #[doc = "How a target process decides whether to take a request."]
    #[serde(default = "defaults::policy_admission")]
    pub admission: AdmissionPolicy,
    #[doc = "Price of one role change, in seconds of one engine's work; without effect while the planner is fixed."]
    #[serde(default = "defaults::policy_change_price_seconds")]
    pub change_price_seconds: f64,
    #[doc = "Share of the time left that a predicted answer must stay short of its deadline."]
    #[serde(default = "defaults::policy_deadline_margin")]
    pub deadline_margin: f64,
    #[doc = "Time for the whole answer where the caller states none, in milliseconds."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 30000>")]
    pub default_deadline_ms: ::std::num::NonZeroU64,
    #[doc = "Share of an engine's rates that a caller with more than a fair share of its work cannot use."]
    #[serde(default = "defaults::policy_flood_reserve")]
    pub flood_reserve: f64,
    #[doc = "Mean deviations by which the predicted length of an answer exceeds its mean."]
    #[serde(default = "defaults::policy_output_spread")]
    pub output_spread: f64,
    #[doc = "Name of the role planner; with fixed, roles follow the document."]
    #[serde(default = "defaults::policy_planner")]
    pub planner: PolicyPlanner,
    #[doc = "Most prompts that one engine reads at once."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 1>")]
    pub prompts_at_once: ::std::num::NonZeroU32,
    #[doc = "How an entry orders the targets for a request."]
    #[serde(default = "defaults::policy_routing")]
    pub routing: RoutingPolicy,
}
impl ::std::default::Default for Policy {
    fn default() -> Self {
        Self {
            admission: defaults::policy_admission(),
            change_price_seconds: defaults::policy_change_price_seconds(),
            deadline_margin: defaults::policy_deadline_margin(),
            default_deadline_ms: defaults::default_nzu64::<::std::num::NonZeroU64, 30000>(),
            flood_reserve: defaults::policy_flood_reserve(),
            output_spread: defaults::policy_output_spread(),
            planner: defaults::policy_planner(),
            prompts_at_once: defaults::default_nzu64::<::std::num::NonZeroU32, 1>(),
            routing: defaults::policy_routing(),
        }
    }
}
#[doc = "Name of the role planner; with fixed, roles follow the document."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum PolicyPlanner {
    #[serde(rename = "fixed")]
    Fixed,
}
impl ::std::fmt::Display for PolicyPlanner {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Fixed => f.write_str("fixed"),
        }
    }
}
impl ::std::str::FromStr for PolicyPlanner {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "fixed" => Ok(Self::Fixed),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for PolicyPlanner {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for PolicyPlanner {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::default::Default for PolicyPlanner {
    fn default() -> Self {
        PolicyPlanner::Fixed
    }
}
#[doc = "Whether a request may run more than once; a stream is a request whose answer is a series of events."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Repetition {
    #[serde(rename = "safe")]
    Safe,
    #[serde(rename = "unsafe")]
    Unsafe,
    #[serde(rename = "stream")]
    Stream,
}
impl ::std::fmt::Display for Repetition {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Safe => f.write_str("safe"),
            Self::Unsafe => f.write_str("unsafe"),
            Self::Stream => f.write_str("stream"),
        }
    }
}
impl ::std::str::FromStr for Repetition {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "safe" => Ok(Self::Safe),
            "unsafe" => Ok(Self::Unsafe),
            "stream" => Ok(Self::Stream),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Repetition {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Repetition {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Which part of the work an engine does."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Role {
    #[serde(rename = "mixed")]
    Mixed,
    #[serde(rename = "prefill")]
    Prefill,
    #[serde(rename = "decode")]
    Decode,
}
impl ::std::fmt::Display for Role {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Mixed => f.write_str("mixed"),
            Self::Prefill => f.write_str("prefill"),
            Self::Decode => f.write_str("decode"),
        }
    }
}
impl ::std::str::FromStr for Role {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "mixed" => Ok(Self::Mixed),
            "prefill" => Ok(Self::Prefill),
            "decode" => Ok(Self::Decode),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Role {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Role {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "The fewest engines that each role may have."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RoleFloors {
    #[serde(default)]
    pub decode: u32,
    #[serde(default)]
    pub prefill: u32,
}
#[doc = "Requests of one host below one path, and how they are forwarded."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Route {
    #[doc = "Whether requests name the shared parts of their prompts."]
    #[serde(default)]
    pub affine: bool,
    #[doc = "Time within which an answer, or the first event of a stream, is on time, in milliseconds."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub aim_ms: ::std::option::Option<::std::num::NonZeroU64>,
    #[doc = "Whether requests need no key, in a document that lists customers; processes of earlier versions refuse documents with this key."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub anonymous: ::std::option::Option<bool>,
    #[doc = "Most targets to which one request is sent."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 1>")]
    pub attempts: ::std::num::NonZeroU32,
    pub host: ::std::string::String,
    pub name: ::std::string::String,
    #[doc = "Longest pause between two events of a stream that is on time, in milliseconds."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub pause_ms: ::std::option::Option<::std::num::NonZeroU64>,
    #[doc = "Begin of the path, from slash to slash; the longest that fits decides."]
    pub prefix: ::std::string::String,
    #[doc = "Urgency among routes; 0 is the most urgent."]
    #[serde(default)]
    pub rank: u32,
    pub repetition: Repetition,
    #[doc = "Whether a broken stream may go on at another target."]
    #[serde(default)]
    pub resumable: bool,
    pub shares: ::std::vec::Vec<ServiceShare>,
    #[doc = "Longest time until the answer is complete, in milliseconds."]
    pub timeout_ms: ::std::num::NonZeroU64,
}
#[doc = "How an entry orders the targets for a request: the least used first, those of the fitting role first, or those that would finish first."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum RoutingPolicy {
    #[serde(rename = "least-queue")]
    LeastQueue,
    #[serde(rename = "by-role")]
    ByRole,
    #[serde(rename = "predicted-finish")]
    PredictedFinish,
}
impl ::std::fmt::Display for RoutingPolicy {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::LeastQueue => f.write_str("least-queue"),
            Self::ByRole => f.write_str("by-role"),
            Self::PredictedFinish => f.write_str("predicted-finish"),
        }
    }
}
impl ::std::str::FromStr for RoutingPolicy {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "least-queue" => Ok(Self::LeastQueue),
            "by-role" => Ok(Self::ByRole),
            "predicted-finish" => Ok(Self::PredictedFinish),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for RoutingPolicy {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RoutingPolicy {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Bounds of the number of targets that the system orders for a service in each availability zone."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Scaling {
    #[doc = "Time from an order until the new target serves, in milliseconds."]
    #[serde(default)]
    pub boot_ms: u64,
    pub max: u32,
    pub min: u32,
}
#[doc = "A named group of targets that callers address."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Service {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub floors: ::std::option::Option<RoleFloors>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub forwarding: ::std::option::Option<Forwarding>,
    pub kind: ServiceKind,
    #[doc = "Models that an engine service answers for."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub models: ::std::vec::Vec<::std::string::String>,
    pub name: ::std::string::String,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub policy: ::std::option::Option<Policy>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub scaling: ::std::option::Option<Scaling>,
}
#[doc = "Whether a service is made of model engines or of plain application servers."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum ServiceKind {
    #[serde(rename = "engine")]
    Engine,
    #[serde(rename = "plain")]
    Plain,
}
impl ::std::fmt::Display for ServiceKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Engine => f.write_str("engine"),
            Self::Plain => f.write_str("plain"),
        }
    }
}
impl ::std::str::FromStr for ServiceKind {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "engine" => Ok(Self::Engine),
            "plain" => Ok(Self::Plain),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ServiceKind {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ServiceKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Share of a route's requests that one service gets."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceShare {
    pub service: ::std::string::String,
    pub weight: f64,
}
#[doc = "An engine or an application server with its process of the system beside it."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Target {
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub adapters: ::std::vec::Vec<::std::string::String>,
    #[doc = "Address of the target process, as IP:PORT."]
    pub address: ::std::string::String,
    #[doc = "Capacity in pieces of 1,024 tokens."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 64>")]
    pub capacity_pieces: ::std::num::NonZeroU32,
    #[doc = "Whether the engine refuses an order with an older fencing number."]
    #[serde(default)]
    pub checks_fencing: bool,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub models: ::std::vec::Vec<LoadedModel>,
    pub name: ::std::string::String,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub role: ::std::option::Option<Role>,
    pub service: ::std::string::String,
    pub state: TargetState,
    #[doc = "Availability zone."]
    pub zone: ::std::string::String,
}
#[doc = "Whether a target takes new work."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum TargetState {
    #[serde(rename = "arriving")]
    Arriving,
    #[serde(rename = "serving")]
    Serving,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::fmt::Display for TargetState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Arriving => f.write_str("arriving"),
            Self::Serving => f.write_str("serving"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for TargetState {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "arriving" => Ok(Self::Arriving),
            "serving" => Ok(Self::Serving),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for TargetState {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for TargetState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = " Generation of default values for serde."]
pub mod defaults {
    pub(super) fn default_i64<T, const V: i64>() -> T
    where
        T: ::std::convert::TryFrom<i64>,
        <T as ::std::convert::TryFrom<i64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn default_nzu64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<::std::num::NonZeroU64>,
        <T as ::std::convert::TryFrom<::std::num::NonZeroU64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(::std::num::NonZeroU64::try_from(V).unwrap()).unwrap()
    }
    pub(super) fn engine_traits_link_mbps() -> f64 {
        0.0_f64
    }
    pub(super) fn policy_admission() -> super::AdmissionPolicy {
        super::AdmissionPolicy::Capacity
    }
    pub(super) fn policy_change_price_seconds() -> f64 {
        20.0_f64
    }
    pub(super) fn policy_deadline_margin() -> f64 {
        0.05_f64
    }
    pub(super) fn policy_flood_reserve() -> f64 {
        0.3_f64
    }
    pub(super) fn policy_output_spread() -> f64 {
        1.0_f64
    }
    pub(super) fn policy_planner() -> super::PolicyPlanner {
        super::PolicyPlanner::Fixed
    }
    pub(super) fn policy_routing() -> super::RoutingPolicy {
        super::RoutingPolicy::LeastQueue
    }
}
#[doc = " Error types."]
pub mod error {
    #[doc = r" Error from a `TryFrom` or `FromStr` implementation."]
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
