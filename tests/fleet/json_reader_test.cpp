#include <fleet/records/json_reader.hpp>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace fleet;
using nlohmann::json;

namespace {

json_message_shape shapeOf(std::vector<json>& elements)
{
    json_message_shape shape;
    shape.members = { "a", "b" };
    shape.lists["list"] = { [&elements](const json& element) { elements.push_back(element); } };
    shape.maxPartBytes = 40;
    return shape;
}

} // namespace

TEST_CASE("a message is read as by the parser, but for members that nobody reads", "[json]")
{
    std::vector<json> elements;
    const auto message = readJsonMessage(
        R"( { "a" : { "x" : [ 1 , "]}\"," ] } , "other" : [ { "a" : "\\" } , [ ] ] , "list" : [ 1 , "\u20ac\"]" , { "y" : [ ] } , null ] , "\u0062" : "" } )",
        shapeOf(elements));
    CHECK(message == json::parse(R"({"a":{"x":[1,"]}\","]},"b":""})"));
    CHECK(elements == json::parse(R"([1,"\u20ac\"]",{"y":[]},null])").get<std::vector<json>>());
    CHECK(readJsonMessage(R"({"list":[]})", shapeOf(elements)).empty());
}

TEST_CASE("a message that is no valid JSON or has another shape is refused with a reason", "[json]")
{
    std::vector<json> elements;
    for (const auto& bad : std::vector<std::string> { "", " ", "[]", "1", "null", "{", "{}", R"({"list":[]}})", R"({"list":[],})", R"({"list":[1,]})",
             R"({"list":[1 2]})", R"({"list":{}})", R"({"list":null})", R"({"list":[],"list":[]})", R"({"list":[]] )", R"({"list":[})",
             R"({"list":[[}]})", R"({"list":[], a:1})", R"({"list":[],"a"})", R"({"list":[],"a":})", R"({"list":[],"a":"x)",
             R"({"list":[],"a":"x\)", R"({"list":[],"a":tru})", R"({"list":[],"other":tru})", R"({"list":[],"other":[1,]})",
             std::string("{\"list\":[]}\0{}", 14), std::string("{\"list\":[]\0}", 12), "{\"list\":[],\"a\":\"\xff\"}", "{\"list\":[],\"\xff\":1}" }) {
        INFO(bad);
        CHECK_THROWS_WITH(readJsonMessage(bad, shapeOf(elements)), Catch::Matchers::Matches(".+"));
    }
}

// Guards against a tree whose size the sender chooses.
TEST_CASE("what is read of a message is limited, what is passed over is not", "[json]")
{
    std::vector<json> elements;
    const std::string text(100, 'x');
    for (const auto& part : { std::string(100, '['), '"' + text + '"', '[' + std::string(100, ' ') + ']', std::string(100, '1') }) {
        INFO(part);
        CHECK_THROWS(readJsonMessage(R"({"list":[],"a":)" + part + "}", shapeOf(elements)));
        CHECK_THROWS(readJsonMessage(R"({"list":[)" + part + "]}", shapeOf(elements)));
    }
    const auto deep = std::string(100'000, '[') + std::string(100'000, ']');
    CHECK(readJsonMessage(R"({"list":[],"other":)" + deep + R"(,")" + text + R"(":1,"a":2})", shapeOf(elements)) == json { { "a", 2 } });
    CHECK_THROWS(readJsonMessage(R"({"list":[],"other":)" + deep + "]}", shapeOf(elements)));
}
