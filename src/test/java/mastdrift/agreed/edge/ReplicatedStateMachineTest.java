package mastdrift.agreed.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.apache.ratis.util.LifeCycle;
import org.junit.jupiter.api.Test;

class ReplicatedStateMachineTest {

    /** A member that is far behind is given a snapshot in pieces, and the library pauses it with each: a snapshot of more than one piece never came to its end. */
    @Test
    void itIsPausedWithEachPieceOfASnapshot() {
        ReplicatedStateMachine machine = new ReplicatedStateMachine(decision -> { }, (index, voters) -> { });
        machine.getLifeCycle().transition(LifeCycle.State.STARTING);
        machine.getLifeCycle().transition(LifeCycle.State.RUNNING);
        machine.pause();
        machine.pause();
        assertEquals(LifeCycle.State.PAUSED, machine.getLifeCycleState());
    }
}
