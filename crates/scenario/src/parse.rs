//! Parser of scenario files: one statement per line; `#` starts a comment.

use std::{sync::Arc, time::Duration};

use marjorampick_core::finding::Findings;
use winnow::{
    ModalResult, Parser,
    ascii::{dec_uint, float, space0, space1},
    combinator::{alt, cut_err, delimited, opt, preceded, separated},
    error::{StrContext, StrContextValue},
    token::{rest, take_while},
};

use crate::script::{
    Check, CurrencySource, Deployment, Event, Expectation, Hosts, Load, Policy, Script, TimedEvent,
    Workspace,
};

mod reference;

/// Largest time in a scenario. The limit prevents overflow when times are added.
const TIME_LIMIT: Duration = Duration::from_secs(1_000 * 3_600);

/// Largest number of hosts. Each needs its own port number in the simulated network.
const HOSTS_LIMIT: usize = 1_000;

/// Parses a scenario.
///
/// # Errors
///
/// One finding for each invalid line, and one if the end of the scenario is missing.
pub fn parse(source: &str) -> Result<Script, Findings> {
    let mut findings = Findings::default();
    let mut script = Script {
        title: String::new(),
        deployment: Deployment::Karnerand,
        hosts: 8,
        currency_source: CurrencySource::StoreOrMembers,
        policy: Policy::Lending,
        workspaces: Vec::new(),
        loads: Vec::new(),
        events: Vec::new(),
        expectations: Vec::new(),
        end: Duration::ZERO,
    };
    let mut offset = 0;
    let mut references = Vec::new();
    for (index, line) in source.split_inclusive('\n').enumerate() {
        let text = line.split('#').next().unwrap_or_default().trim();
        if !text.is_empty() {
            match statement.parse(text) {
                Ok(statement) => {
                    references.push((offset, text, reference::from_statement(&statement)));
                    script.add(index + 1, statement);
                }
                Err(error) => {
                    let expected = error.inner().to_string().replace('\n', ", ");
                    findings.add(source, Some(offset), text, format!("syntax error: {expected}"));
                }
            }
        }
        offset += line.len();
    }
    for (offset, text, reference) in &references {
        if let Some(fault) = reference.find_fault(&script) {
            findings.add(source, Some(*offset), text, fault);
        }
    }
    if script.end.is_zero() {
        findings.add(source, None, "", "the statement `end at TIME` is missing");
    }
    if findings.is_empty() { Ok(script) } else { Err(findings) }
}

/// Parsed statement of one line.
enum Statement {
    Title(String),
    Deployment(Deployment),
    Hosts(usize),
    CurrencySource(CurrencySource),
    Policy(Policy),
    Workspace(Workspace),
    Load(Load),
    Event(Duration, Event),
    Expect(Check),
    End(Duration),
}

impl Script {
    fn add(&mut self, line: usize, statement: Statement) {
        match statement {
            Statement::Title(title) => self.title = title,
            Statement::Deployment(deployment) => self.deployment = deployment,
            Statement::Hosts(hosts) => self.hosts = hosts,
            Statement::CurrencySource(currency_source) => self.currency_source = currency_source,
            Statement::Policy(policy) => self.policy = policy,
            Statement::Workspace(workspace) => self.workspaces.push(workspace),
            Statement::Load(load) => self.loads.push(load),
            Statement::Event(at, event) => self.events.push(TimedEvent { line, at, event }),
            Statement::Expect(check) => self.expectations.push(Expectation { line, check }),
            Statement::End(end) => self.end = end,
        }
    }
}

fn statement(input: &mut &str) -> ModalResult<Statement> {
    alt((
        setting,
        preceded(words("workspace"), cut_err(workspace)).map(Statement::Workspace),
        preceded(words("load"), cut_err(load)).map(Statement::Load),
        preceded(words("at"), cut_err((time, preceded(space1, event))))
            .map(|(at, event)| Statement::Event(at, event)),
        preceded(words("expect"), cut_err(check)).map(Statement::Expect),
        preceded(words("end at"), cut_err(time)).map(Statement::End),
    ))
    .context(StrContext::Label("statement"))
    .parse_next(input)
}

fn setting(input: &mut &str) -> ModalResult<Statement> {
    alt((
        preceded(words("scenario"), cut_err(rest)).map(|text: &str| Statement::Title(text.into())),
        preceded(words("deployment"), cut_err(deployment)).map(Statement::Deployment),
        preceded(words("hosts"), cut_err(host_count)).map(Statement::Hosts),
        preceded(words("current by"), cut_err(currency_source)).map(Statement::CurrencySource),
        preceded(words("policy"), cut_err(policy)).map(Statement::Policy),
    ))
    .parse_next(input)
}

fn host_count(input: &mut &str) -> ModalResult<usize> {
    dec_uint.verify(|count| (1..=HOSTS_LIMIT).contains(count)).parse_next(input)
}

/// Matches the words of `text`, with optional spaces between and after them.
fn words<'a>(text: &'static str) -> impl FnMut(&mut &'a str) -> ModalResult<()> {
    move |input| {
        for word in text.split(' ') {
            (word, space0)
                .void()
                .context(StrContext::Expected(StrContextValue::StringLiteral(word)))
                .parse_next(input)?;
        }
        Ok(())
    }
}

fn name(input: &mut &str) -> ModalResult<Arc<str>> {
    take_while(1.., ('a'..='z', '0'..='9', '-')).map(Arc::from).parse_next(input)
}

fn time(input: &mut &str) -> ModalResult<Duration> {
    let unit = alt(("ms".value(0.001), "s".value(1.0), "min".value(60.0), "h".value(3600.0)));
    (float, unit)
        .verify_map(|(count, unit): (f64, f64)| Duration::try_from_secs_f64(count * unit).ok())
        .verify(|time| *time <= TIME_LIMIT)
        .context(StrContext::Label("time"))
        .parse_next(input)
}

fn deployment(input: &mut &str) -> ModalResult<Deployment> {
    alt(("karnerand".value(Deployment::Karnerand), "lothian".value(Deployment::Lothian)))
        .parse_next(input)
}

fn currency_source(input: &mut &str) -> ModalResult<CurrencySource> {
    alt((
        words("store or members").value(CurrencySource::StoreOrMembers),
        words("store").value(CurrencySource::Store),
    ))
    .parse_next(input)
}

fn policy(input: &mut &str) -> ModalResult<Policy> {
    alt((
        "lending".value(Policy::Lending),
        "fixed".value(Policy::Fixed),
        "leased".value(Policy::Leased),
    ))
    .parse_next(input)
}

fn hosts(input: &mut &str) -> ModalResult<Hosts> {
    let number = dec_uint::<_, usize, _>;
    alt((
        words("all hosts").value(Hosts::All),
        preceded(words("one host after another, each for"), time).map(Hosts::Rotating),
        preceded(
            alt((words("hosts"), words("host"))),
            separated(1.., number, delimited(space0, ',', space0)),
        )
        .map(Hosts::Listed),
    ))
    .parse_next(input)
}

fn workspace(input: &mut &str) -> ModalResult<Workspace> {
    (name, preceded((space1, words("rate")), float), preceded((space1, words("burst")), dec_uint))
        .map(|(name, rate, burst)| Workspace { name, rate, burst })
        .parse_next(input)
}

fn load(input: &mut &str) -> ModalResult<Load> {
    let rate = delimited(space1, positive, (space0, words("per second")));
    let on = preceded(words("on"), hosts);
    (name, rate, on, interval)
        .map(|(workspace, rate, hosts, (from, to))| Load { workspace, rate, hosts, from, to })
        .parse_next(input)
}

fn positive(input: &mut &str) -> ModalResult<f64> {
    float.verify(|number: &f64| *number > 0.0 && number.is_finite()).parse_next(input)
}

fn interval(input: &mut &str) -> ModalResult<(Duration, Duration)> {
    (preceded((space0, words("from")), time), preceded((space0, words("to")), time))
        .parse_next(input)
}

fn for_time(input: &mut &str) -> ModalResult<Duration> {
    preceded((space0, words("for")), time).parse_next(input)
}

fn via_host(input: &mut &str) -> ModalResult<usize> {
    preceded((space0, words("via host")), dec_uint).parse_next(input)
}

fn event(input: &mut &str) -> ModalResult<Event> {
    alt((host_event, store_event, edit_event)).context(StrContext::Label("event")).parse_next(input)
}

fn host_event(input: &mut &str) -> ModalResult<Event> {
    alt((
        preceded(words("kill"), hosts).map(Event::Kill),
        preceded(words("start"), hosts).map(Event::Start),
        preceded(words("stop"), hosts).map(Event::Stop),
        preceded(words("list as gone"), hosts).map(Event::ListGone),
        preceded(words("pause"), (hosts, for_time)).map(|(hosts, time)| Event::Pause(hosts, time)),
        preceded(words("cut the store from"), (hosts, for_time))
            .map(|(hosts, time)| Event::CutStore(hosts, time)),
        preceded(words("cut"), (hosts, for_time)).map(|(hosts, time)| Event::Cut(hosts, time)),
        preceded(words("lose"), (float, preceded(words("% of messages"), for_time)))
            .map(|(percent, time)| Event::Loss(percent, time)),
    ))
    .parse_next(input)
}

fn store_event(input: &mut &str) -> ModalResult<Event> {
    alt((
        preceded(words("store down"), for_time).map(Event::StoreDown),
        preceded(words("store takes"), (time, for_time))
            .map(|(delay, time)| Event::StoreSlow(delay, time)),
        preceded(words("store loses answers"), for_time).map(Event::StoreLosesAnswers),
    ))
    .parse_next(input)
}

fn edit_event(input: &mut &str) -> ModalResult<Event> {
    alt((
        preceded(words("withdraw the keys of"), (name, via_host))
            .map(|(workspace, via)| Event::Withdraw { workspace, via }),
        preceded(words("remove workspace"), (name, via_host))
            .map(|(workspace, via)| Event::Remove { workspace, via }),
        preceded(words("set"), (workspace, via_host)).map(|(limit, via)| Event::SetRate {
            workspace: limit.name,
            rate: limit.rate,
            burst: limit.burst,
            via,
        }),
    ))
    .parse_next(input)
}

fn check(input: &mut &str) -> ModalResult<Check> {
    alt((
        words("every workspace within its limit").value(Check::WithinLimits),
        preceded(words("at least"), share),
        preceded(words("nothing admitted for"), (name, interval))
            .map(|(workspace, (from, to))| Check::NoneAdmitted { workspace, from, to }),
        words("accepted edits to hold").value(Check::AcceptedEditsHold),
        preceded(words("the edit at"), (time, preceded(space1, accepted)))
            .map(|(at, accepted)| Check::Edit { at, accepted }),
        preceded(words("at most"), (float, (space0, words("store calls per second"))))
            .map(|(calls, _)| Check::StoreCalls(calls)),
        (hosts, preceded((space0, words("to be current at")), time))
            .map(|(hosts, at)| Check::Current(hosts, at)),
        (hosts, preceded((space0, words("not to be current at")), time))
            .map(|(hosts, at)| Check::NotCurrent(hosts, at)),
        members,
    ))
    .context(StrContext::Label("expectation"))
    .parse_next(input)
}

fn accepted(input: &mut &str) -> ModalResult<bool> {
    alt((words("to be accepted").value(true), words("not to be accepted").value(false)))
        .parse_next(input)
}

fn share(input: &mut &str) -> ModalResult<Check> {
    let percent = (float, words("% of the omniscient limiter"));
    let workspace = opt(preceded(words("for"), name));
    (percent, workspace, interval)
        .map(|((percent, ()), workspace, (from, to))| Check::Share { workspace, percent, from, to })
        .parse_next(input)
}

fn members(input: &mut &str) -> ModalResult<Check> {
    let host = preceded(words("host"), dec_uint);
    let count = preceded((space0, words("to list")), dec_uint);
    let at = preceded((space0, words("members at")), time);
    (host, count, at).map(|(host, count, at)| Check::Members { host, count, at }).parse_next(input)
}
