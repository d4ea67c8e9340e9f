//! Final responses of requests that are in progress at the end of the drain time.

use std::sync::Arc;

use salvo::{
    Depot,
    FlowCtrl,
    Request,
    Response,
    handler, //
};

use crate::{
    problem::{
        Code,
        Problem,
        Run, //
    },
    state::State, //
};

/// Responds to requests whose handlers can't be awaited any longer.
pub(crate) struct Cutoff {
    pub(crate) state: Arc<State>,
}

#[handler]
impl Cutoff {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let is_cut_off = tokio::select! {
            biased;
            _ = ctrl.call_next(req, depot, res) => false,
            () = self.state.cutoff.cancelled() => true,
        };
        if is_cut_off {
            ctrl.skip_rest();
            let message = "the entry stopped before the outcome was known";
            Problem::new(Code::Unknown, message)
                .run(Run::Unknown)
                .write(res);
        }
    }
}
