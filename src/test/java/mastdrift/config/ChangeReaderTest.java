package mastdrift.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import mastdrift.distribution.Edit;
import mastdrift.distribution.ResourceKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ChangeReaderTest {

    private static final String GOOD = """
            id = "move-shop"
            [[upsert]]
            kind = "route"
            name = "shop"
            expected = 12
            value = { order = 10, path = "/shop", pools = [ { pool = "main", weight = 1.5 } ] }
            [[upsert]]
            kind = "tenant"
            name = "t-1"
            [upsert.value]
            requests_per_second = 100
            [[delete]]
            kind = "route"
            name = "old"
            """;

    private static ChangeReader.Result read(String text) {
        return ChangeReader.read("change.toml", text + "# end\n", "made-up");
    }

    @Test
    void readsIdAndEditsOfAChange() {
        assertEquals(List.of(), read(GOOD).problems());
        assertEquals("move-shop", read(GOOD).change().id());
        assertEquals("made-up", read(GOOD.replace("id = \"move-shop\"\n", "")).change().id());
        List<Edit> edits = read(GOOD).change().edits();
        Edit.Upsert route = (Edit.Upsert) edits.get(0);
        assertEquals("ROUTE shop 12 {\"order\":10,\"path\":\"/shop\",\"pools\":[{\"pool\":\"main\",\"weight\":1.5}]}", route.kind() + " " + route.name() + " " + route.expectedVersion() + " "
                + new String(route.value(), StandardCharsets.UTF_8));
        assertEquals(ResourceKind.TENANT, edits.get(1).kind());
        assertEquals(new Edit.Delete(ResourceKind.ROUTE, "old", Edit.ANY_VERSION), edits.get(2));
    }

    /** Each mistake is reported with its location. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "kind = \"tenant\" | kind = \"tenent\" | change.toml:8:1: upsert[2].kind: expected one of route, pool, tenant, host, found \"tenent\"",
        "kind = \"tenant\" | # none | change.toml:7:1: upsert[2].kind: expected one of route, pool, tenant, host, found nothing",
        "name = \"old\" | name = \"shop\" | change.toml:14:1: delete[1].name: expected each once, found \"ROUTE shop\" again",
        "name = \"old\" | name = \"two words\" | delete[1].name: expected up to 64 letters",
        "expected = 12 | expected = -3 | change.toml:5:1: upsert[1].expected: expected a whole number from 0",
        "order = 10 | order = -10 | change.toml:6:1: upsert[1].value: order: expected a whole number from 0 to 1000000000, found -10",
        "order = 10 | orders = 10 | upsert[1].value: order: expected a whole number from 0 to 1000000000, found nothing",
        "requests_per_second = 100 | requests_per_second = inf | upsert[2].value: requests_per_second: expected a number from 0.001 to 10000000, found",
        "[upsert.value] | [upsert.valu] | did you mean value?",
        "id = \"move-shop\" | ids = \"move-shop\" | did you mean id?"})
    void reportsEachMistakeWithItsLocation(String good, String bad, String expectedProblem) {
        assertTrue(GOOD.contains(good), good);
        ChangeReader.Result result = read(GOOD.replace(good, bad));
        assertTrue(result.change() == null && result.problems().stream().anyMatch(line -> line.contains(expectedProblem)), result.problems().toString());
    }

    @Test
    void rejectsAChangeThatIsTruncatedOrEmptyOrHasALongId() {
        assertTrue(ChangeReader.read("change.toml", GOOD, "x").problems().toString().contains("closing line"));
        assertTrue(read("").problems().toString().contains("expected at least one [[upsert]] or [[delete]], found none"));
        assertTrue(read("id = \"" + "x".repeat(65) + "\"\n" + GOOD.substring(GOOD.indexOf("[[upsert]]"))).problems().toString().contains("expected 1 to 64 characters, found 65"));
    }

    @Test
    void rejectsMoreEditsThanTheMaximum() {
        String many = IntStream.range(0, 1_025).mapToObj(i -> "[[delete]]\nkind = \"route\"\nname = \"r" + i + "\"\n").collect(Collectors.joining());
        assertTrue(read(many).problems().toString().contains("expected at most 1024 tables"));
    }
}
