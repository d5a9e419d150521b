package mastdrift.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import mastdrift.distribution.ResourceKind;
import mastdrift.routing.Match;
import mastdrift.routing.Route;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ResourceValuesTest {

    private static final String ROUTE_WITH_ALL_KEYS = "{\"order\":10,\"class\":\"read\",\"tenant\":\"t1\",\"path\":\"/a\",\"header\":\"X-Ring\",\"header_value\":\"blue\",\"zone\":\"bilbao\","
            + "\"pools\":[{\"pool\":\"p\",\"weight\":1.0},{\"pool\":\"q\",\"weight\":3}],\"fallback\":\"r\"}";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void readsARouteWithAllKeys() {
        List<String> problems = new ArrayList<>();
        RouteValue value = RouteValue.read("shop", bytes(ROUTE_WITH_ALL_KEYS), problems);
        assertEquals(List.of(), problems);
        assertEquals(new RouteValue(10, new Route("shop", new Match("read", "t1", "/a", "X-Ring", "blue", "bilbao"), List.of(new Route.Target("p", 1), new Route.Target("q", 3)), "r")),
                value);
        assertEquals(List.of("p", "q", "r"), value.pools());
        assertNull(ResourceValues.findProblems(ResourceKind.ROUTE, "shop", bytes(ROUTE_WITH_ALL_KEYS)));
        assertNull(ResourceValues.findProblems(ResourceKind.ROUTE, "least",
                bytes("{\"order\":0,\"pools\":[{\"pool\":\"p\",\"weight\":1}]}")));
    }

    /** Each mistake is reported with its location, what was expected and what was found. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "ROUTE | {\"order\":-1,\"pools\":[{\"pool\":\"p\",\"weight\":1}]} | order: expected a whole number from 0 to 1000000000, found -1",
        "ROUTE | {\"order\":1.5,\"pools\":[{\"pool\":\"p\",\"weight\":1}]} | order: expected a whole number",
        "ROUTE | {\"pools\":[{\"pool\":\"p\",\"weight\":1}]} | order: expected a whole number from 0 to 1000000000, found nothing",
        "ROUTE | {\"order\":1,\"pools\":[]} | pools: expected an array of 1 to 64 objects, found an array",
        "ROUTE | {\"order\":1} | pools: expected an array of 1 to 64 objects, found nothing",
        "ROUTE | {\"order\":1,\"pools\":[{\"pool\":\"p\",\"weight\":0}]} | pools: expected a pool with a weight above 0, found none",
        "ROUTE | {\"order\":1,\"pools\":[{\"pool\":\"p\",\"weight\":-2}]} | pools[0].weight: expected a number from 0 to 1000000, found -2",
        "ROUTE | {\"order\":1,\"pools\":[{\"pool\":\"p\",\"weight\":1},{\"pool\":\"p\",\"weight\":1}]} | pools[1].pool: expected each pool once, found \"p\" again",
        "ROUTE | {\"order\":1,\"path\":\"a\",\"pools\":[{\"pool\":\"p\",\"weight\":1}]} | path: expected a path of at most 1024 characters that begins with /, found \"a\"",
        "ROUTE | {\"order\":1,\"header_value\":\"a\",\"pools\":[{\"pool\":\"p\",\"weight\":1}]} | header_value: expected the key header as well, found none",
        "ROUTE | {\"order\":1,\"clas\":\"a\",\"pools\":[{\"pool\":\"p\",\"weight\":1}]} | did you mean class?",
        "ROUTE | {\"order\":1,\"class\":null,\"pools\":[{\"pool\":\"p\",\"weight\":1}]} | class: expected up to 64 letters, digits, dots, - and _, found nothing",
        "ROUTE | {\"order\":1,\"order\":2,\"pools\":[{\"pool\":\"p\",\"weight\":1}]} | Duplicate field",
        "ROUTE | {\"order\":1 | expected one object in JSON, found",
        "ROUTE | [] | expected one object in JSON, found something else",
        "ROUTE | {\"order\":1,\"pools\":[{\"pool\":\"p\",\"weight\":1}]} {} | expected one object in JSON, found more after it",
        "TENANT | {\"share\":2} | share: expected a number from 0 to 1, found 2",
        "TENANT | {\"requests_per_second\":\"many\"} | requests_per_second: expected a number from 0.001 to 10000000, found \"many\"",
        "POOL | {\"max_attempts\":17} | max_attempts: expected a whole number from 1 to 16, found 17",
        "POOL | {\"probes\":1} | probes: expected true or false, found 1",
        "HOST | {\"endpoint\":\"127.0.0.1:80\",\"zone\":\"z\"} | pool: expected a name, found nothing",
        "HOST | {\"pool\":\"p\",\"endpoint\":\"host:80\",\"zone\":\"z\"} | endpoint: expected ADDRESS:PORT in digits, found \"host:80\"",
        "HOST | {\"pool\":\"p\",\"endpoint\":\"127.0.0.1:80\",\"zone\":\"z\",\"state\":\"gone\"} | state: expected one of up, drain, found \"gone\""})
    void reportsEachMistakeWithItsLocation(ResourceKind kind, String value, String expectedProblem) {
        String problem = ResourceValues.findProblems(kind, "name", bytes(value));
        assertTrue(problem != null && problem.contains(expectedProblem), problem);
    }

    @Test
    void acceptsValidValuesOfEveryKind() {
        assertNull(ResourceValues.findProblems(ResourceKind.TENANT, "t",
                bytes("{\"share\":0.5,\"requests_per_second\":100}")));
        assertNull(ResourceValues.findProblems(ResourceKind.POOL, "p", bytes("{}")));
        assertNull(ResourceValues.findProblems(ResourceKind.HOST, "h",
                bytes("{\"pool\":\"p\",\"endpoint\":\"127.0.0.1:80\",\"zone\":\"z\",\"cell\":3,\"weight\":0.5,\"state\":\"up\",\"started_ms\":5}")));
        assertTrue(ResourceValues.findProblems(ResourceKind.POOL, "two words", bytes("{}"))
                .startsWith("name: expected"));
    }

    @Test
    void countsProblemsBeyondTheMaximum() {
        String many = IntStream.range(0, 500).mapToObj(i -> "\"k" + i + "\":1").collect(Collectors.joining(",", "{", "}"));
        assertTrue(ResourceValues.findProblems(ResourceKind.POOL, "name", bytes(many)).endsWith("and 492 more"));
    }

    /** Any input is accepted or reported within a bounded length, and nothing is thrown. */
    @Property(tries = 500)
    void reportsCorruptedValuesWithinABoundedLength(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] value = bytes(ROUTE_WITH_ALL_KEYS);
        for (int i = random.nextInt(6); i >= 0; i--) {
            value[random.nextInt(value.length)] = (byte) random.nextInt(256);
        }
        for (ResourceKind kind : ResourceKind.values()) {
            String problem = ResourceValues.findProblems(kind, "name", value);
            assertTrue(problem == null || problem.length() < 4_000, problem);
        }
    }
}
