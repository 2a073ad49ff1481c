//! The cause of a failed request, as the lines of the host that served it tell.

/// What one line tells.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Told<'a> {
    /// What was decided.
    pub(crate) event: &'a str,
    /// The request's id, if the line is about one.
    pub(crate) id: &'a str,
    /// The server, or what a belief is about.
    pub(crate) server: &'a str,
    /// The reason or outcome.
    pub(crate) why: &'a str,
}

/// The cause of the failure of request `id`, from its lines and the beliefs around them, in order.
pub(crate) fn cause(story: &[Told<'_>], id: &str) -> String {
    let own = |event: &str| {
        story
            .iter()
            .find(|told| told.event == event && told.id == id)
    };
    let belief = |event: &str| story.iter().find(|told| told.event == event);
    let crash = story
        .iter()
        .find(|told| told.event == "server_crashed" && told.why == id);
    let cut_off = belief("zone_out_of_reach").map(|told| told.server);
    let refused = story
        .iter()
        .find(|told| told.event == "request_refused" && told.server == id);
    if let Some(refused) = refused {
        return refused_early(refused.why);
    }
    let Some(ended) = own("ended") else {
        return "no end was written: the host itself ended while the request ran".to_owned();
    };
    if let Some(crash) = crash {
        return format!("backend server {} crashed under it", crash.server);
    }
    let losses = [
        "attempt_lost",
        "stream_broken",
        "answer_broken",
        "answer_spoiled",
    ];
    let lost = losses.iter().find_map(|event| own(event));
    match ended.why {
        "complete" => "none: it ended well".to_owned(),
        "failure of the server passed on" => match own("server_failed") {
            Some(failed) => format!(
                "backend servers failed, {} with {}",
                failed.server, failed.why
            ),
            None => "backend servers failed".to_owned(),
        },
        "not run: no server left" | "may have run: no server left" => match cut_off {
            Some(zone) => format!("its servers stood in zone {zone}, which was out of reach"),
            None => "no server of the service took it: none is listed, or all refused".to_owned(),
        },
        "time limit passed" | "caller left" => match (cut_off, lost) {
            (Some(zone), Some(lost)) => {
                format!(
                    "{}: {}, while zone {zone} was out of reach",
                    lost.server, lost.why
                )
            }
            (_, Some(lost)) => format!("{}: {}", lost.server, lost.why),
            (_, None) if ended.server.is_empty() => "it waited and no server was chosen".to_owned(),
            (_, None) => format!("backend server {} did not answer in time", ended.server),
        },
        why => match lost {
            Some(lost) => format!("{why}; before it {}: {}", lost.server, lost.why),
            None => why.to_owned(),
        },
    }
}

fn refused_early(why: &str) -> String {
    match why {
        "not run: planned stop" => "the host was in a planned stop".to_owned(),
        "unknown key" => "the caller's key belongs to no account".to_owned(),
        "no route" => "no route of the configuration fits".to_owned(),
        "no configuration yet" => "the host had just started and knew no configuration".to_owned(),
        why => why.to_owned(),
    }
}
