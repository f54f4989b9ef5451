// Tests that the model learns the effects of simulated kinds and reports its uncertainty.

#include "plantainhold/policy/InterferenceModel.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

namespace plantainhold {

namespace {

    constexpr NameId s_service = 1;
    constexpr std::uint32_t s_seed = 5;

    // Generates samples of a service with random neighbours of known effect.
    class SampleGenerator {
    public:
        explicit SampleGenerator(std::map<NameId, double> effects)
            : m_effects(std::move(effects))
            , m_random(s_seed)
        {
        }

        void feed(InterferenceModel& model, int samples)
        {
            std::uniform_real_distribution<double> share(0, 1);
            for (int i = 0; i < samples; ++i) {
                Estimate bias = InterferenceModel::priorBias();
                std::map<NameId, Estimate> deviations;
                std::vector<InterferenceModel::Neighbour> neighbours;
                double load = share(m_random);
                double pressure = 0;
                for (const auto& [kind, effect] : m_effects) {
                    if (share(m_random) < 0.5)
                        continue;
                    double cores = 8 * share(m_random);
                    deviations[kind] = InterferenceModel::priorDeviation(model.effect(s_service, kind));
                    neighbours.push_back({ kind, cores, &deviations[kind] });
                    pressure += effect * cores;
                }
                double slowdown = (1 + 0.2 * load * load) * (1 + (0.2 + 0.8 * load) * pressure);
                double noise = std::normal_distribution<double>(1, 0.05)(m_random);
                model.learn({ s_service, load, slowdown * noise, &bias }, neighbours);
            }
        }

    private:
        std::map<NameId, double> m_effects;
        std::mt19937 m_random;
    };

} // namespace

TEST_CASE("effects are learned with decreasing uncertainty")
{
    INFO("seed " << s_seed);
    std::map<NameId, double> effects { { 11, 0.0 }, { 12, 0.02 }, { 13, 0.1 } };
    InterferenceModel model;
    double unsure = model.effect(s_service, 13).variance;
    SampleGenerator(effects).feed(model, 600);
    for (const auto& [kind, effect] : effects) {
        Estimate found = model.effect(s_service, kind);
        INFO("kind " << kind << " mean " << found.mean);
        CHECK(found.mean == Approx(effect).margin(0.012));
        CHECK(found.variance < unsure / 20);
    }
}

TEST_CASE("a changed effect is learned again")
{
    InterferenceModel model;
    SampleGenerator({ { 11, 0.0 }, { 12, 0.02 } }).feed(model, 600);
    SampleGenerator({ { 11, 0.1 }, { 12, 0.02 } }).feed(model, 200);
    CHECK(model.effect(s_service, 11).mean > 0.07);
    CHECK(model.effect(s_service, 12).mean < 0.04);
}

TEST_CASE("an unknown pair keeps a wide upper bound")
{
    InterferenceModel model;
    Estimate unknown = model.effect(8, 9);
    CHECK(unknown.upperBound(1) > 2 * unknown.mean);
    CHECK(model.baseline(8, 0) >= 1);
    CHECK(model.gain(8, 1) > model.gain(8, 0));
}

} // namespace plantainhold
