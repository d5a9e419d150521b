package mastdrift.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import mastdrift.peers.MemberState;
import org.junit.jupiter.api.Test;

class PeerServiceTest {

    /** Guards against a status file that operators' tools can no longer read. */
    @Test
    void statusFileKeepsItsNamesOfMemberStates() {
        assertEquals(List.of("alive", "suspected", "gone", "left"), Arrays.stream(MemberState.values()).map(PeerService::statusName).toList());
    }
}
