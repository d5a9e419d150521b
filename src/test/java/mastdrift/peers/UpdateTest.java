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

class UpdateTest {

    private static Update drawn(Random random) {
        return new Update(new Member("g", random.nextInt(3), "z", "b", "s"), random.nextInt(3), MemberState.values()[random.nextInt(4)], "by");
    }

    private static Update kept(List<Update> heard) {
        Update kept = heard.get(0);
        for (Update each : heard) {
            kept = each.overrides(kept) ? each : kept;
        }
        return kept;
    }

    /** Heard in any order, any of them twice or more: what is believed in the end is the same. */
    @Property(tries = 2_000)
    void theOrderOfHearingDoesNotMatter(@ForAll long seed) {
        Random random = new Random(seed);
        List<Update> heard = new ArrayList<>();
        for (int i = 0; i < 2 + random.nextInt(8); i++) {
            heard.add(drawn(random));
        }
        Update kept = kept(heard);
        heard.add(heard.get(random.nextInt(heard.size())));
        Collections.shuffle(heard, random);
        assertEquals(kept, kept(heard));
        assertTrue(heard.stream().noneMatch(each -> each.overrides(kept)), "and nothing that was heard would change it");
        assertFalse(kept.overrides(kept));
    }
}
