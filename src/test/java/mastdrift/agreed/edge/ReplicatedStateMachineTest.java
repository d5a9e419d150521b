package mastdrift.agreed.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.apache.ratis.util.LifeCycle;
import org.junit.jupiter.api.Test;

/** Life cycle of the replicated state machine. */
class ReplicatedStateMachineTest {

    /**
     * Guards against a second pause that fails: the library pauses the state machine with each chunk of a snapshot, and
     * a snapshot of more than one chunk could not be installed.
     */
    @Test
    void aSecondPauseHasNoEffect() {
        ReplicatedStateMachine machine = new ReplicatedStateMachine(decision -> { }, (index, voters) -> { });
        machine.getLifeCycle().transition(LifeCycle.State.STARTING);
        machine.getLifeCycle().transition(LifeCycle.State.RUNNING);
        machine.pause();
        machine.pause();
        assertEquals(LifeCycle.State.PAUSED, machine.getLifeCycleState());
    }
}
