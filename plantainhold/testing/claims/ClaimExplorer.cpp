// Breadth-first search over all states; visited states are kept as 128-bit hashes.

#include "plantainhold/testing/claims/ClaimExplorer.h"

#include "plantainhold/util/Hash.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <deque>
#include <unordered_set>
#include <vector>

namespace plantainhold {

namespace {

    constexpr ClaimKey s_key { { 1, 1 } };
    constexpr std::uint64_t s_body = 7;
    constexpr int s_processes = 2;
    // In ticks: a claim may be dispatched within one tick, and its caller waits for two.
    constexpr int s_validity = 1;
    constexpr int s_deadline = 2;
    // An append reaches the log within this many ticks after it was sent, or never.
    constexpr int s_landLimit = 1;
    constexpr int s_retention = 3;
    // Two runs of one key must be at least this many ticks apart.
    constexpr int s_guaranteeWindow = s_retention - s_validity;

    TimePoint at(int tick)
    {
        return TimePoint(Milliseconds(tick * 1000));
    }

    enum class Reported : std::uint8_t {
        Nothing,
        NotRun,
        Ran,
        Other,
    };

    struct Append {
        ClaimRecord record;
        int attempt = 0;
        int sentAt = 0;
        bool isLanded = false;
        bool isSettled = false;
    };

    struct Attempt {
        int process = 0;
        Reported reported = Reported::Nothing;
        int ranAt = -1;
        bool isAlive = true;
        std::optional<ClaimLifecycle> lifecycle;
    };

    struct Landed {
        ClaimRecord record;
        int landedAt = 0;
    };

    struct World {
        std::vector<Landed> log;
        std::vector<Append> appends;
        std::vector<Attempt> attempts;
        std::array<std::size_t, s_processes> positions {};
        std::array<ClaimReducer, s_processes> reducers;
        int now = 0;
        int crashes = 0;
        int lostReplies = 0;
        bool hasForgotten = false;
        std::string trace;
    };

    class Explorer {
    public:
        explicit Explorer(const ExplorerScope& scope)
            : m_scope(scope)
        {
        }

        ExplorerResult run()
        {
            push(World {}, "");
            while (!m_queue.empty() && !m_result.violation && m_result.states < m_scope.stateLimit) {
                World world = std::move(m_queue.front());
                m_queue.pop_front();
                expand(world);
            }
            m_result.isComplete = m_queue.empty();
            return m_result;
        }

    private:
        void expand(const World& world)
        {
            expandTime(world);
            for (std::size_t i = 0; i < world.appends.size(); ++i)
                expandAppend(world, i);
            for (int process = 0; process < s_processes; ++process)
                expandProcess(world, process);
            for (std::size_t i = 0; i < world.attempts.size(); ++i)
                expandAttempt(world, i);
        }

        void expandTime(const World& world)
        {
            if (world.now < m_scope.ticks) {
                World next = world;
                ++next.now;
                push(std::move(next), "tick");
            }
            if (!m_scope.hasForgetting || world.hasForgotten || world.log.empty())
                return;
            std::size_t old = 0;
            while (old < world.log.size() && world.now - world.log[old].landedAt >= s_retention)
                ++old;
            if (old == 0)
                return;
            World next = world;
            next.hasForgotten = true;
            ClaimRecord record;
            record.kind = ClaimRecordKind::Forgotten;
            record.offset = old - 1;
            next.log.push_back({ record, next.now });
            push(std::move(next), "forget");
        }

        void expandAppend(const World& world, std::size_t i)
        {
            const Append& append = world.appends[i];
            std::string name = " append " + std::to_string(i);
            if (!append.isLanded && world.now - append.sentAt <= s_landLimit) {
                World next = world;
                next.appends[i].isLanded = true;
                next.log.push_back({ append.record, world.now });
                push(std::move(next), "land" + name);
            }
            if (append.isSettled)
                return;
            // The result of a claim's append matters only if a rule is disabled; a refusal always matters.
            bool isClaim = append.record.kind == ClaimRecordKind::Claim;
            if (append.isLanded && (!isClaim || !m_scope.rules.readsBack))
                settle(world, i, AppendStatus::Appended, "confirm" + name);
            if (!append.isLanded && m_scope.hasRefusals)
                settle(world, i, AppendStatus::Refused, "refuse" + name);
            if (world.lostReplies < m_scope.lostReplies && (!isClaim || !m_scope.rules.writesTombstone))
                settle(world, i, AppendStatus::Unknown, "lose the reply of" + name);
        }

        void settle(const World& world, std::size_t i, AppendStatus status, const std::string& step)
        {
            World next = world;
            Append& append = next.appends[i];
            append.isSettled = true;
            // Marked as landed, because a refused append never reaches the log.
            append.isLanded |= status == AppendStatus::Refused;
            next.lostReplies += status == AppendStatus::Unknown;
            Attempt& attempt = next.attempts[static_cast<std::size_t>(append.attempt)];
            if (attempt.isAlive && attempt.lifecycle) {
                bool isClaim = append.record.kind == ClaimRecordKind::Claim;
                ClaimStep done = isClaim ? attempt.lifecycle->claimAppendCompleted(status, at(next.now)) : attempt.lifecycle->finalAppendCompleted(status, at(next.now));
                perform(next, append.attempt, done);
            }
            push(std::move(next), step);
        }

        void expandProcess(const World& world, int process)
        {
            std::string name = " at " + std::to_string(process);
            auto index = static_cast<std::size_t>(process);
            if (world.positions[index] < world.log.size()) {
                World next = world;
                read(next, index);
                push(std::move(next), "read" + name);
            }
            if (world.crashes < m_scope.crashes && hasLive(world, process)) {
                World next = world;
                ++next.crashes;
                for (Attempt& it : next.attempts)
                    it.isAlive &= it.process != process;
                next.reducers[index] = {};
                next.positions[index] = 0;
                push(std::move(next), "crash" + name);
            }
            // The two instances are symmetric, so the first attempt is always made on instance 0.
            bool mayBegin = static_cast<int>(world.attempts.size()) < m_scope.attempts && !hasLive(world, process);
            if (mayBegin && (process == 0 || !world.attempts.empty())) {
                World next = world;
                begin(next, process);
                push(std::move(next), "begin" + name);
            }
        }

        static bool hasLive(const World& world, int process)
        {
            for (const Attempt& it : world.attempts) {
                if (it.process == process && it.isAlive && it.lifecycle && !it.lifecycle->isClosed())
                    return true;
            }
            return false;
        }

        void read(World& world, std::size_t process)
        {
            std::size_t offset = world.positions[process]++;
            const ClaimRecord record = world.log[offset].record;
            if (m_scope.ignoresTombstones && record.kind == ClaimRecordKind::Abandoned)
                return;
            ClaimEffect effect = world.reducers[process].apply(record, offset, at(world.now));
            for (std::size_t i = 0; i < world.attempts.size(); ++i) {
                Attempt& attempt = world.attempts[i];
                bool isOwn = attempt.isAlive && attempt.lifecycle && attempt.process == static_cast<int>(process) && attempt.lifecycle->record().id == record.id;
                if (!isOwn)
                    continue;
                bool isClaim = record.kind == ClaimRecordKind::Claim;
                ClaimStep step = isClaim ? attempt.lifecycle->claimRead(effect, world.reducers[process].find(s_key), at(world.now)) : attempt.lifecycle->finalRecordRead();
                perform(world, static_cast<int>(i), step);
            }
        }

        void begin(World& world, int process)
        {
            Attempt attempt;
            attempt.process = process;
            ClaimKeyState state = world.reducers[static_cast<std::size_t>(process)].find(s_key);
            if (state.phase != ClaimPhase::Free) {
                attempt.reported = Reported::Other;
                checkRecordedOutcome(world, state);
                world.attempts.push_back(attempt);
                return;
            }
            int index = static_cast<int>(world.attempts.size());
            ClaimRecord claim;
            claim.id = { { 0, static_cast<std::uint64_t>(index + 1) } };
            claim.key = s_key;
            claim.bodyHash = s_body;
            ClaimTimes times;
            times.sentAt = at(world.now);
            times.validUntil = at(world.now + s_validity);
            times.giveUpAt = times.validUntil;
            times.deadline = at(world.now + s_deadline);
            times.retryFor = Milliseconds(1000);
            times.retryInterval = Milliseconds(0);
            attempt.lifecycle.emplace(claim, times, m_scope.rules);
            world.attempts.push_back(attempt);
            world.appends.push_back({ claim, index, world.now });
        }

        void expandAttempt(const World& world, std::size_t i)
        {
            const Attempt& attempt = world.attempts[i];
            if (!attempt.isAlive || !attempt.lifecycle || attempt.lifecycle->isClosed())
                return;
            std::string name = " attempt " + std::to_string(i);
            World timed = world;
            ClaimStep step = timed.attempts[i].lifecycle->timePassed(at(world.now));
            if (step.decision || step.appendsAbandoned || step.appendsOutcome || timed.attempts[i].lifecycle->isClosed()) {
                perform(timed, static_cast<int>(i), step);
                push(std::move(timed), "wake" + name);
            }
            if (attempt.lifecycle->phase() != ClaimLifecycle::Phase::Won)
                return;
            if (attempt.ranAt < 0) {
                bool isValid = at(world.now) < attempt.lifecycle->times().validUntil;
                if (isValid || !m_scope.rules.checksValidity) {
                    World next = world;
                    next.attempts[i].ranAt = next.now;
                    push(std::move(next), "dispatch" + name);
                }
                World next = world;
                perform(next, static_cast<int>(i), next.attempts[i].lifecycle->abandon(at(world.now + 1), at(world.now)));
                push(std::move(next), "give up" + name);
                return;
            }
            World next = world;
            next.attempts[i].reported = Reported::Ran;
            perform(next, static_cast<int>(i), next.attempts[i].lifecycle->finish(2000, 200, at(world.now)));
            push(std::move(next), "finish" + name);
        }

        void perform(World& world, int index, const ClaimStep& step)
        {
            Attempt& attempt = world.attempts[static_cast<std::size_t>(index)];
            if (step.decision && step.decision->state == ClaimState::NotAvailable)
                attempt.reported = Reported::NotRun;
            else if (step.decision && step.decision->state != ClaimState::Won)
                attempt.reported = Reported::Other;
            if (step.decision && step.decision->state == ClaimState::Recorded && !hasRun(world))
                m_result.violation = world.trace + "\n-> an outcome was reported and nothing had run";
            if (!step.appendsAbandoned && !step.appendsOutcome)
                return;
            ClaimRecord record = attempt.lifecycle->record();
            record.kind = step.appendsOutcome ? ClaimRecordKind::Outcome : ClaimRecordKind::Abandoned;
            world.appends.push_back({ record, index, world.now });
        }

        static bool hasRun(const World& world)
        {
            for (const Attempt& it : world.attempts) {
                if (it.ranAt >= 0)
                    return true;
            }
            return false;
        }

        void checkRecordedOutcome(const World& world, const ClaimKeyState& state)
        {
            if (state.phase == ClaimPhase::Ended && !hasRun(world))
                m_result.violation = world.trace + "\n-> an outcome is recorded and nothing had run";
        }

        void check(const World& world)
        {
            for (std::size_t i = 0; i < world.attempts.size(); ++i) {
                const Attempt& one = world.attempts[i];
                if (one.reported == Reported::NotRun && one.ranAt >= 0)
                    m_result.violation = world.trace + "\n-> reported \"not run\" and ran";
                if (one.reported == Reported::NotRun && one.lifecycle && canStillHoldKey(world, one))
                    m_result.violation = world.trace + "\n-> reported \"not run\" and its claim can still hold the key";
                for (std::size_t j = i + 1; j < world.attempts.size(); ++j) {
                    const Attempt& other = world.attempts[j];
                    if (one.ranAt >= 0 && other.ranAt >= 0 && std::abs(one.ranAt - other.ranAt) < s_guaranteeWindow)
                        m_result.violation = world.trace + "\n-> ran twice";
                    if (one.reported == Reported::NotRun && other.ranAt >= 0)
                        ++m_result.runsAfterNotRun;
                }
            }
        }

        // Returns whether the attempt's claim holds the key, or could still come to hold
        // it, for a reader of the whole log.
        bool canStillHoldKey(const World& world, const Attempt& attempt) const
        {
            ClaimReducer reducer;
            std::size_t offset = 0;
            auto take = [&](const ClaimRecord& record) {
                if (!m_scope.ignoresTombstones || record.kind != ClaimRecordKind::Abandoned)
                    reducer.apply(record, offset, at(0));
                ++offset;
            };
            for (const Landed& it : world.log)
                take(it.record);
            for (const Append& it : world.appends) {
                bool isItsClaim = it.record.kind == ClaimRecordKind::Claim && it.record.id == attempt.lifecycle->record().id;
                if (isItsClaim && !it.isLanded && world.now - it.sentAt <= s_landLimit)
                    take(it.record);
            }
            ClaimKeyState state = reducer.find(s_key);
            return state.phase == ClaimPhase::Held && state.id == attempt.lifecycle->record().id;
        }

        void push(World world, const std::string& step)
        {
            if (m_result.violation)
                return;
            world.trace += (world.trace.empty() ? "" : ", ") + step;
            prune(world);
            check(world);
            if (!m_seen.insert(fingerprint(world)).second)
                return;
            ++m_result.states;
            m_queue.push_back(std::move(world));
        }

        // Removes appends that cannot affect the future any more.
        void prune(World& world) const
        {
            std::erase_if(world.appends, [&](const Append& it) {
                bool isQuiet = it.isSettled || (m_scope.rules.readsBack && it.record.kind == ClaimRecordKind::Claim);
                return isQuiet && (it.isLanded || world.now - it.sentAt > s_landLimit);
            });
        }

        struct Fingerprint {
            std::uint64_t first;
            std::uint64_t second;
            bool operator==(const Fingerprint&) const = default;
        };
        struct FingerprintHash {
            std::size_t operator()(const Fingerprint& it) const { return it.first; }
        };

        static void addRecord(std::string& text, const ClaimRecord& record)
        {
            text += static_cast<char>('a' + static_cast<int>(record.kind));
            text += static_cast<char>('0' + record.id.low);
            if (record.kind == ClaimRecordKind::Forgotten)
                text += static_cast<char>('0' + record.offset);
        }

        // Hashes everything that the future depends on. Reducers are left out, because
        // they follow from the log and the read positions.
        Fingerprint fingerprint(const World& world) const
        {
            std::string text;
            for (const Landed& it : world.log) {
                addRecord(text, it.record);
                text += static_cast<char>('0' + (m_scope.hasForgetting ? std::min(world.now - it.landedAt, s_retention) : 0));
            }
            text += '|';
            for (const Append& it : world.appends) {
                addRecord(text, it.record);
                text += static_cast<char>('0' + std::min(world.now - it.sentAt, s_landLimit + 1));
                text += it.isLanded ? 'L' : 'l';
                text += it.isSettled ? 'S' : 's';
            }
            text += '|';
            for (const Attempt& it : world.attempts) {
                text += static_cast<char>('0' + it.process);
                text += static_cast<char>('0' + static_cast<int>(it.reported));
                text += static_cast<char>('1' + it.ranAt);
                text += it.isAlive ? 'A' : 'a';
                if (!it.lifecycle)
                    continue;
                text += static_cast<char>('0' + static_cast<int>(it.lifecycle->phase()));
                text += it.lifecycle->hasDecided() ? 'T' : 't';
                text += static_cast<char>('0' + (it.lifecycle->times().sentAt - at(0)) / Milliseconds(1000));
                text += static_cast<char>('0' + (it.lifecycle->times().deadline - at(0)) / Milliseconds(1000));
                text += static_cast<char>('0' + (it.lifecycle->finalRecordDeadline() - at(0)) / Milliseconds(1000));
            }
            text += '|';
            for (std::size_t it : world.positions)
                text += static_cast<char>('0' + it);
            text += static_cast<char>('0' + world.now);
            text += static_cast<char>('0' + world.crashes);
            text += static_cast<char>('0' + world.lostReplies);
            return { hash64(text, 1), hash64(text, 2) };
        }

        const ExplorerScope m_scope;
        ExplorerResult m_result;
        std::deque<World> m_queue;
        std::unordered_set<Fingerprint, FingerprintHash> m_seen;
    };

} // namespace

ExplorerResult explore(const ExplorerScope& scope)
{
    return Explorer(scope).run();
}

} // namespace plantainhold
