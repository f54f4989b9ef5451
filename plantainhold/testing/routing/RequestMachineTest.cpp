// Tests the request state machine with random events against a model that keeps
// the whole history: the result reported to the caller must follow from it.

#include "plantainhold/routing/RequestMachine.h"
#include "plantainhold/routing/RequestOutcome.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace plantainhold {

namespace {

    TimePoint at(std::int64_t ms)
    {
        return TimePoint {} + Milliseconds(ms);
    }

    AttemptResult endedWith(AttemptEnd end, bool startedSending)
    {
        AttemptResult result;
        result.end = end;
        result.startedSending = startedSending;
        return result;
    }

    RequestMachine::Rules rulesOf(bool isIdempotent, std::int64_t hedgeAfter = 0)
    {
        return { .isIdempotent = isIdempotent, .hedgeAfter = Milliseconds(hedgeAfter), .unresponsiveAfter = Milliseconds(120), .deadline = at(1000) };
    }

    // Applies random events and records the full history.
    class History {
    public:
        History(std::mt19937& random, const RequestMachine::Rules& rules)
            : m_random(random)
            , m_rules(rules)
            , m_machine(rules)
        {
        }

        void play()
        {
            for (int i = 0; i < 60 && m_finishes == 0; ++i) {
                m_now += static_cast<std::int64_t>(m_random() % 60);
                step();
            }
            for (int i = 0; m_finishes == 0; ++i)
                take(m_machine.timer(at(1000 + i)));
            check();
        }

    private:
        void step()
        {
            unsigned choice = m_random() % 10;
            if (m_machine.isWaitingForSlot() && choice < 6)
                take(choice == 0 ? m_machine.refused(ResultCode::QueueFull) : begin());
            else if (!m_running.empty())
                choice < 4 ? send() : end();
            else if (choice == 9)
                take(m_machine.callerGone());
            take(m_machine.timer(at(m_now)));
        }

        RequestStep begin()
        {
            m_running.push_back(false);
            ++m_attempts;
            return m_machine.granted(at(m_now));
        }

        void send()
        {
            std::size_t i = m_random() % m_running.size();
            if (m_running[i])
                return;
            m_machine.sending(at(m_now));
            m_running[i] = true;
        }

        void end()
        {
            std::size_t i = m_random() % m_running.size();
            bool wasSent = m_running[i];
            m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(i));
            static constexpr std::array s_unsent { AttemptEnd::ConnectFailed, AttemptEnd::NotSent };
            static constexpr std::array s_sent { AttemptEnd::Answered, AttemptEnd::Refused, AttemptEnd::Lost, AttemptEnd::TimedOut, AttemptEnd::Truncated, AttemptEnd::Mismatched, AttemptEnd::NotSent };
            AttemptEnd how = wasSent ? s_sent[m_random() % s_sent.size()] : s_unsent[m_random() % s_unsent.size()];
            if (wasSent && how != AttemptEnd::Refused && how != AttemptEnd::NotSent)
                m_truthMayHaveRun = true;
            m_isAnswered = m_isAnswered || how == AttemptEnd::Answered;
            take(m_machine.ended(endedWith(how, wasSent), at(m_now)));
        }

        void take(RequestStep step)
        {
            if (step == RequestStep::Finish)
                ++m_finishes;
            if ((step == RequestStep::Hedge || step == RequestStep::Replace) && m_random() % 2 && m_finishes == 0)
                take(begin());
            bool isRetry = step == RequestStep::Retry || step == RequestStep::Reselect;
            if (!isRetry)
                return;
            REQUIRE(m_running.empty());
            REQUIRE(m_now < 1000);
            // A second dispatch of a non-idempotent request needs proof that the first did not run.
            REQUIRE((m_rules.isIdempotent || !m_truthMayHaveRun));
            if (m_random() % 4 == 0)
                take(m_machine.retryDenied());
        }

        void check()
        {
            bool mayRun = m_truthMayHaveRun || std::find(m_running.begin(), m_running.end(), true) != m_running.end();
            OutcomeKind kind = outcomeKind(m_machine.result());
            REQUIRE(m_finishes == 1);
            REQUIRE(m_attempts <= RequestMachine::s_attemptLimit + 1);
            REQUIRE((kind == OutcomeKind::Done) == m_isAnswered);
            if (!m_isAnswered)
                REQUIRE((kind == OutcomeKind::Unknown) == mayRun);
        }

        std::mt19937& m_random;
        const RequestMachine::Rules m_rules;
        RequestMachine m_machine;
        std::int64_t m_now = 0;
        // The running attempts, and whether each has sent anything.
        std::vector<bool> m_running;
        int m_attempts = 0;
        int m_finishes = 0;
        bool m_truthMayHaveRun = false;
        bool m_isAnswered = false;
    };

} // namespace

TEST_CASE("outcomes follow from the history in random histories")
{
    auto seed = GENERATE(range(1u, 20u));
    CAPTURE(seed);
    std::mt19937 random(seed);
    for (int i = 0; i < 400; ++i)
        History(random, rulesOf(i % 2 == 0, i % 3 ? 50 : 0)).play();
}

TEST_CASE("a timeout after bytes were sent is never reported as not run")
{
    for (bool isIdempotent : { false, true }) {
        RequestMachine machine(rulesOf(isIdempotent));
        machine.granted(at(0));
        machine.sending(at(1));
        REQUIRE(machine.timer(at(999)) == (isIdempotent ? RequestStep::Replace : RequestStep::Wait));
        REQUIRE(machine.timer(at(1000)) == RequestStep::Finish);
        REQUIRE(machine.result() == ResultCode::AnswerTimedOut);
    }
}

TEST_CASE("a deadline before any byte was sent is reported as not run")
{
    RequestMachine machine(rulesOf(false));
    machine.granted(at(0));
    REQUIRE(machine.timer(at(1000)) == RequestStep::Finish);
    REQUIRE(outcomeKind(machine.result()) == OutcomeKind::NotRun);
}

TEST_CASE("a hedge is requested once, and only for idempotent requests")
{
    RequestMachine::Rules rules = rulesOf(true, 50);
    rules.unresponsiveAfter = {};
    RequestMachine machine(rules);
    machine.granted(at(0));
    machine.sending(at(10));
    REQUIRE(machine.nextTimer() == at(60));
    REQUIRE(machine.timer(at(60)) == RequestStep::Hedge);
    REQUIRE(machine.timer(at(70)) == RequestStep::Wait);
    RequestMachine notIdempotent(rulesOf(false, 50));
    notIdempotent.granted(at(0));
    notIdempotent.sending(at(10));
    REQUIRE(notIdempotent.timer(at(60)) == RequestStep::Wait);
}

TEST_CASE("an unresponsive attempt gets one parallel attempt, and its own response still counts")
{
    RequestMachine::Rules rules = rulesOf(true);
    rules.unresponsiveAfter = Milliseconds(100);
    RequestMachine machine(rules);
    machine.granted(at(0));
    machine.sending(at(10));
    REQUIRE(machine.nextTimer() == at(110));
    REQUIRE(machine.timer(at(110)) == RequestStep::Replace);
    REQUIRE(machine.timer(at(150)) == RequestStep::Wait);
    machine.granted(at(160));
    machine.sending(at(170));
    REQUIRE(machine.nextTimer() == at(270));
    REQUIRE(machine.ended(endedWith(AttemptEnd::Answered, true), at(510)) == RequestStep::Finish);
    REQUIRE(machine.result() == ResultCode::Done);
}

TEST_CASE("a stop distinguishes requests that were sent from those that were not")
{
    RequestMachine waiting(rulesOf(false));
    REQUIRE(waiting.stopped() == RequestStep::Finish);
    REQUIRE(waiting.result() == ResultCode::InstanceStopping);
    RequestMachine sent(rulesOf(false));
    sent.granted(at(0));
    sent.sending(at(1));
    sent.stopped();
    REQUIRE(sent.result() == ResultCode::StoppedInFlight);
}

TEST_CASE("the outcome follows from the result code, and every refusal has an error status")
{
    for (const ResultInfo& it : allResults()) {
        int number = static_cast<int>(it.code);
        if (number < 2100 || number > 2999)
            continue;
        bool isNotRun = it.meaning.starts_with("Not run:");
        CAPTURE(it.name);
        REQUIRE((outcomeKind(it.code) == OutcomeKind::NotRun) == isNotRun);
        REQUIRE(httpStatusOf(it.code) >= 400);
    }
}

} // namespace plantainhold
