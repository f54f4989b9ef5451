// Tests the validation of request heads against a reference implementation with
// regular expressions, on random heads with valid and hostile parts.

#include "plantainhold/routing/RequestHead.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <regex>
#include <string>
#include <vector>

namespace plantainhold {

namespace {

    struct OwnedField {
        std::string name;
        std::string value;
    };

    struct OwnedHead {
        std::string method = "POST";
        std::string target = "/quote";
        unsigned version = 11;
        std::vector<OwnedField> fields { { "Host", "a" } };
    };

    std::optional<ResultCode> check(const OwnedHead& head, RequestHeaders& headers)
    {
        std::vector<HeadField> fields;
        for (const OwnedField& it : head.fields)
            fields.push_back({ it.name, it.value });
        return checkHead({ head.method, head.target, head.version, fields }, headers);
    }

    std::optional<ResultCode> check(const OwnedHead& head)
    {
        RequestHeaders headers;
        return check(head, headers);
    }

    std::vector<std::string> valuesOf(const OwnedHead& head, const std::string& name)
    {
        std::vector<std::string> values;
        std::regex pattern(name, std::regex::icase);
        for (const OwnedField& it : head.fields) {
            if (std::regex_match(it.name, pattern))
                values.push_back(it.value);
        }
        return values;
    }

    bool isAccepted(const OwnedHead& head)
    {
        auto atMostOnce = [&](const std::string& name, const std::string& pattern) {
            std::vector<std::string> values = valuesOf(head, name);
            return values.empty() || (values.size() == 1 && std::regex_match(values[0], std::regex(pattern, std::regex::icase)));
        };
        if ((head.version != 10 && head.version != 11) || head.fields.size() > 100)
            return false;
        if (!std::regex_match(head.method, std::regex("GET|HEAD|POST|PUT|DELETE|PATCH|OPTIONS")))
            return false;
        if (!std::regex_match(head.target, std::regex("/[!-~]*")))
            return false;
        bool hasLength = !valuesOf(head, "content-length").empty();
        bool hasEncoding = !valuesOf(head, "transfer-encoding").empty();
        if ((hasLength && hasEncoding) || (hasEncoding && head.version == 10) || (head.version == 11 && valuesOf(head, "host").empty()))
            return false;
        return atMostOnce("content-length", "[0-9]{1,18}") && atMostOnce("transfer-encoding", "chunked") && atMostOnce("expect", "100-continue")
            && atMostOnce("host", "[!-~]*") && atMostOnce("plantainhold-team", "[!-~]{1,128}") && atMostOnce("idempotency-key", "[!-~]{1,255}")
            && atMostOnce("x-request-id", "[-A-Za-z0-9_.:]{1,128}") && atMostOnce("plantainhold-time-limit-ms", "[0-9]{1,9}");
    }

    template <typename T>
    const T& any(std::mt19937& random, const std::vector<T>& of)
    {
        return of[random() % of.size()];
    }

    OwnedHead randomHead(std::mt19937& random)
    {
        static const std::vector<std::string> s_methods { "GET", "POST", "POST", "PUT", "CONNECT", "TRACE", "get", "" };
        static const std::vector<std::string> s_targets { "/quote", "/quote", "/", "*", "http://x/", "", "/a b", std::string("/\x01", 2), "/\xff" };
        static const std::vector<std::string> s_names { "Content-Length", "content-length", "Transfer-Encoding", "TRANSFER-ENCODING", "Host", "Expect",
            "Plantainhold-Team", "Idempotency-Key", "X-Request-Id", "Plantainhold-Time-Limit-Ms", "Accept", "Content-Length " };
        static const std::vector<std::string> s_values { "5", "5", "chunked", "Chunked", "chunked, chunked", "gzip", "+5", "-1", "5,5", "", "0x10", "100-continue",
            "18446744073709551617", "quotes", std::string(256, 'k'), std::string(128, '7'), "a b", std::string("a\0b", 3), "\x7f", "\xc3\xa9" };
        OwnedHead head;
        if (random() % 4 == 0)
            head.method = any(random, s_methods);
        if (random() % 4 == 0)
            head.target = any(random, s_targets);
        if (random() % 8 == 0)
            head.version = any(random, std::vector<unsigned> { 9, 10, 11, 20 });
        for (unsigned i = random() % 5; i > 0; --i)
            head.fields.push_back({ any(random, s_names), any(random, s_values) });
        if (random() % 50 == 0)
            head.fields.resize(99 + random() % 4, { "Accept", "x" });
        return head;
    }

} // namespace

TEST_CASE("heads are accepted exactly when the reference implementation accepts them")
{
    auto seed = GENERATE(range(1u, 11u));
    CAPTURE(seed);
    std::mt19937 random(seed);
    int accepted = 0;
    for (int i = 0; i < 1500; ++i) {
        OwnedHead head = randomHead(random);
        bool isIn = !check(head).has_value();
        std::string text = head.method + " " + head.target;
        for (const OwnedField& it : head.fields)
            text += "\n" + it.name + ": " + it.value;
        CAPTURE(text, head.version);
        REQUIRE(isIn == isAccepted(head));
        accepted += isIn;
    }
    REQUIRE(accepted > 100);
}

TEST_CASE("ambiguous lengths and too many fields are refused")
{
    OwnedHead both;
    both.fields.push_back({ "Content-Length", "4" });
    both.fields.push_back({ "Transfer-Encoding", "chunked" });
    REQUIRE(check(both) == ResultCode::RequestMalformed);
    OwnedHead twice;
    twice.fields.push_back({ "Content-Length", "4" });
    twice.fields.push_back({ "content-length", "4" });
    REQUIRE(check(twice) == ResultCode::RequestMalformed);
    OwnedHead many;
    many.fields.resize(s_fieldLimit + 1, { "Host", "a" });
    REQUIRE(check(many) == ResultCode::HeaderTooLarge);
}

TEST_CASE("plantainhold's own headers are parsed")
{
    OwnedHead head;
    head.fields.push_back({ "plantainhold-team", "arada" });
    head.fields.push_back({ "idempotency-key", "k-1" });
    head.fields.push_back({ "x-request-id", "r:1" });
    head.fields.push_back({ "plantainhold-time-limit-ms", "250" });
    RequestHeaders headers;
    REQUIRE(check(head, headers) == std::nullopt);
    REQUIRE(headers.team == "arada");
    REQUIRE(headers.idempotencyKey == "k-1");
    REQUIRE(headers.requestId == "r:1");
    REQUIRE(headers.timeLimit == Milliseconds(250));
    REQUIRE(isHopByHop("connection"));
    REQUIRE_FALSE(isHopByHop("Content-Type"));
}

} // namespace plantainhold
