package mastdrift.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Order of the updates of one member. */
class UpdateTest {

    private static Update randomUpdate(Random random) {
        return new Update(new Member("g", random.nextInt(3), "z", "b", "s"), random.nextInt(3),
                MemberState.values()[random.nextInt(4)], "by");
    }

    private static Update merge(List<Update> received) {
        Update result = received.get(0);
        for (Update each : received) {
            result = each.overrides(result) ? each : result;
        }
        return result;
    }

    /** Updates in any order of arrival, any of them several times: the result is the same. */
    @Property(tries = 2_000)
    void mergeGivesTheSameResultInAnyOrder(@ForAll long seed) {
        Random random = new Random(seed);
        List<Update> received = new ArrayList<>();
        for (int i = 0; i < 2 + random.nextInt(8); i++) {
            received.add(randomUpdate(random));
        }
        Update result = merge(received);
        received.add(received.get(random.nextInt(received.size())));
        Collections.shuffle(received, random);
        assertEquals(result, merge(received));
        assertTrue(received.stream().noneMatch(each -> each.overrides(result)),
                "no received update would replace the result");
        assertFalse(result.overrides(result));
    }
}
