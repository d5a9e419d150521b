package mastdrift.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ByteBudgetTest {

    private static final long CAPACITY = 1_000;
    private static final long FREE = 50;
    private static final long MIN_AGE = 10;

    private final ByteBudget budget = new ByteBudget(CAPACITY, FREE, MIN_AGE);

    /** Drops all that it holds when it is told to. */
    private final class Holder implements ByteBudget.Owner {
        private final ByteBudget.Account account = budget.open(this);
        private boolean told;

        @Override
        public void reclaim() {
            told = true;
            account.release(0, account.heldBytes());
        }
    }

    @Test
    void freePartDoesNotDependOnOthers() {
        Holder greedy = new Holder();
        assertTrue(greedy.account.reserve(0, CAPACITY + FREE));
        assertEquals(CAPACITY, budget.usedBytes());
        Holder other = new Holder();
        assertTrue(other.account.reserve(0, FREE));
        assertFalse(other.account.reserve(0, 1));
        assertEquals(FREE, other.account.heldBytes());
        assertEquals(1, budget.rejections());
    }

    /** Guards against a budget that stays used up by what was begun and never ended. */
    @Test
    void longestHeldIsDroppedForOthersOnceItHasHadItsTime() {
        Holder first = new Holder();
        Holder second = new Holder();
        first.account.reserve(0, 500 + FREE);
        first.account.setReclaimable(0, true);
        second.account.reserve(1, 500 + FREE);
        second.account.setReclaimable(1, true);
        Holder third = new Holder();
        assertFalse(third.account.reserve(MIN_AGE - 1, 100 + FREE));
        assertTrue(third.account.reserve(MIN_AGE, 100 + FREE));
        assertTrue(first.told);
        assertFalse(second.told);
        assertEquals(600, budget.usedBytes());
    }

    @Test
    void whatIsInProgressIsNotDropped() {
        Holder busy = new Holder();
        busy.account.reserve(0, CAPACITY + FREE);
        Holder other = new Holder();
        assertFalse(other.account.reserve(1_000, 1 + FREE));
        busy.account.setReclaimable(1_000, true);
        assertFalse(other.account.reserve(1_000, 1 + FREE), "its time counts from when it could be dropped");
        assertTrue(other.account.reserve(1_000 + MIN_AGE, 1 + FREE));
    }

    @Test
    void ownerIsNotToldToDropForItself() {
        Holder only = new Holder();
        only.account.reserve(0, CAPACITY);
        only.account.setReclaimable(0, true);
        assertFalse(only.account.reserve(100, 2 * FREE));
        assertFalse(only.told);
    }

    @Test
    void ownerThatDropsNothingIsPassedOver() {
        ByteBudget.Account stubborn = budget.open(() -> { });
        stubborn.reserve(0, 600 + FREE);
        stubborn.setReclaimable(0, true);
        Holder second = new Holder();
        second.account.reserve(0, 400 + FREE);
        second.account.setReclaimable(0, true);
        assertTrue(new Holder().account.reserve(100, 300 + FREE));
        assertTrue(second.told);
    }

    /** Whatever owners do, the budget is kept and the sum of what is counted is right. */
    @Property(tries = 200)
    void budgetIsKept(@ForAll long seed) {
        ByteBudgetTest test = new ByteBudgetTest();
        Random random = new Random(seed);
        List<Holder> holders = new ArrayList<>();
        for (int step = 0; step < 400; step++) {
            if (holders.isEmpty() || random.nextInt(20) == 0) {
                holders.add(test.new Holder());
            }
            Holder holder = holders.get(random.nextInt(holders.size()));
            switch (random.nextInt(4)) {
                case 0, 1 -> holder.account.reserve(step, random.nextInt(200));
                case 2 -> holder.account.release(step, Math.min(holder.account.heldBytes(), random.nextInt(200)));
                default -> holder.account.setReclaimable(step, random.nextBoolean());
            }
            long counted = holders.stream().mapToLong(each -> Math.max(0, each.account.heldBytes() - FREE)).sum();
            assertEquals(counted, test.budget.usedBytes(), "step " + step);
            assertTrue(counted <= CAPACITY, "step " + step);
        }
    }
}
