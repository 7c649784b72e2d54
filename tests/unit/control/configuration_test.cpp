#include <oriole/control/configuration.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>

using nlohmann::json;

namespace {

std::string readExample(const std::string& name)
{
    std::ifstream file(std::string(ORIOLE_SOURCE_DIRECTORY) + "/examples/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string faultOf(const json& document)
{
    const auto parsed = oriole::parseConfiguration(document.dump());
    REQUIRE(parsed.has_error());
    REQUIRE(parsed.error().ran == oriole::verdict::NotRun);
    REQUIRE(parsed.error().kind == oriole::failure_kind::InvalidInput);
    return parsed.error().reason;
}

} // namespace

TEST_CASE("the examples are valid, and their guarantees fit with any failure domain out")
{
    const auto* name = GENERATE("sloupek.json", "trust.json");
    const auto parsed = oriole::parseConfiguration(readExample(name));
    REQUIRE(parsed.has_value());
    REQUIRE(parsed.value().organisations.size() == 4);
    REQUIRE(parsed.value().failureDomains.size() == 3);
    const auto capacity = oriole::checkCapacity(parsed.value());
    REQUIRE(capacity.errors.empty());
    REQUIRE(capacity.warnings.empty());
}

TEST_CASE("a fault in a document is named with its path")
{
    const auto valid = json::parse(readExample("sloupek.json"));
    auto document = valid;
    document["organisations"][1]["weight"] = -1;
    REQUIRE(faultOf(document).starts_with("organisations[1].weight: "));

    document = valid;
    document["organisations"][1]["wieght"] = 1;
    REQUIRE(faultOf(document) == "organisations[1].wieght: is not known");

    document = valid;
    document["organisations"][0]["guarantees"][0]["shape"]["adjacency"] = "room";
    REQUIRE(faultOf(document).starts_with("organisations[0].guarantees[0].shape.adjacency: "));

    document = valid;
    document["failure_domains"][2]["name"] = "praha";
    REQUIRE(faultOf(document) == "failure_domains[2].name: 'praha' is given twice");

    document = valid;
    document["limits"]["retry_share"] = 1.5;
    REQUIRE(faultOf(document).starts_with("limits.retry_share: "));

    document = valid;
    document["services"][0]["default_timeout_ms"] = 40000;
    REQUIRE(faultOf(document).starts_with("services[0].default_timeout_ms: "));

    document = valid;
    document.erase("environment");
    REQUIRE(faultOf(document).starts_with("environment: "));
    REQUIRE(faultOf(json::array()).starts_with("document: "));
}

TEST_CASE("text that is no document is refused")
{
    const auto* text = GENERATE("", "{", "nonsense", R"({"environment":"a","environment":"b"})");
    REQUIRE(oriole::parseConfiguration(text).has_error());
}

TEST_CASE("guarantees beyond the declared capacity are errors")
{
    auto document = json::parse(readExample("sloupek.json"));
    document["organisations"][0]["guarantees"][0]["count"] = 8;
    const auto crowded = oriole::checkCapacity(oriole::parseConfiguration(document.dump()).value());
    REQUIRE_FALSE(crowded.errors.empty());
    REQUIRE(crowded.errors.front().find(".guarantees[") != std::string::npos);

    document["organisations"][0]["guarantees"][0]["count"] = 1;
    document["organisations"][0]["guarantees"][0]["shape"]["accelerators"] = 9;
    REQUIRE_FALSE(oriole::checkCapacity(oriole::parseConfiguration(document.dump()).value()).errors.empty());
}

TEST_CASE("guarantees that need every failure domain are warned of")
{
    auto document = json::parse(readExample("sloupek.json"));
    document["organisations"][0]["guarantees"][0]["count"] = 5;
    const auto capacity = oriole::checkCapacity(oriole::parseConfiguration(document.dump()).value());
    REQUIRE(capacity.errors.empty());
    REQUIRE_FALSE(capacity.warnings.empty());
}

TEST_CASE("a diff names what changed and nothing else")
{
    const auto before = json::parse(readExample("sloupek.json"));
    auto after = before;
    after["organisations"].erase(0);
    after["limits"]["task_lease_ms"] = 4000;
    after["services"].push_back({ { "name", "bundles" } });
    const auto lines = oriole::diffConfigurations(before.dump(), after.dump());
    REQUIRE(std::count(lines.begin(), lines.end(), "~ limits.task_lease_ms: 3000 -> 4000") == 1);
    REQUIRE(std::count(lines.begin(), lines.end(), "+ services[bundles].name: \"bundles\"") == 1);
    REQUIRE(std::count(lines.begin(), lines.end(), "- organisations[house-praha].weight: 4") == 1);
    REQUIRE(std::none_of(lines.begin(), lines.end(),
        [](const std::string& line) { return line.find("house-brno") != std::string::npos; }));
    REQUIRE(oriole::diffConfigurations(before.dump(), before.dump()).empty());
}
