/*!
The HTTP interface to callers: request and response formats, headers and errors.

```
use laburnumlug::Verdict;
use laburnumlug_caller::ApiError;

let err = ApiError::unknown_model("nonesuch");
assert_eq!(err.status(), 404);
assert_eq!(err.verdict(), Verdict::NotRun);
```

Callers send JSON in the format of the OpenAI API to `POST /v1/completions` and `POST /v1/chat/completions`, and
call plain services below `/services/NAME/`. Each response has the [`VERDICT_HEADER`] and the [`REQUEST_ID_HEADER`].
*/

mod answer;
mod error;
mod header;
mod operation;
mod request;

pub use crate::answer::{AnswerFormat, AnswerWriter};
pub use crate::error::ApiError;
pub use crate::header::{
    CALLER_HEADER, CallHeaders, DEADLINE_HEADER, IDEMPOTENCY_HEADER, REQUEST_ID_HEADER,
    RETRY_AFTER_MS_HEADER, VERDICT_HEADER,
};
pub use crate::operation::Operation;
pub use crate::request::{GenerationRequest, parse_generation};
