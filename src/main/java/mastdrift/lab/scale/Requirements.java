package mastdrift.lab.scale;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;

/**
 * What a size of a plan needs of this machine, worked out before anything is started.
 *
 * @param processes in all, this one and the shell that ends the others among them
 * @param memory bytes: heaps at their most, and what a machine of Java takes beside its heap
 * @param descriptors of the process that needs most
 * @param hollowProcesses among the processes
 * @param machineHeap MiB of heap of a control machine or real gateway
 * @param hollowHeap MiB of heap of a process of hollow gateways
 */
record Requirements(int processes, long memory, int descriptors, int hollowProcesses, int machineHeap, int hollowHeap) {

    /** Processes, fewer than. */
    static final int PROCESSES_BELOW = 200;
    private static final long MIB = 1 << 20;
    private static final int BESIDE_HEAP = 90;  // MiB of a process: classes, code, stacks, buffers
    private static final int RESOURCE = 240;  // bytes of heap, by what a table of them takes
    private static final int TABLE = 64 << 10;  // bytes of one without resources
    private static final int HOLLOW = 96 << 10;  // bytes of a hollow gateway beside its table
    private static final int SPARE = 256;  // descriptors beside links: files, jars, pipes
    private static final double SKEW = 2;  // a relay may have so many times its share of links, while another is away

    /** What this machine has. */
    record Capacity(long memory, long free, long descriptors) {

        static Capacity ofThisMachine() {
            OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
            long descriptors = system instanceof UnixOperatingSystemMXBean unix ? unix.getMaxFileDescriptorCount() : Long.MAX_VALUE;
            return new Capacity(system.getTotalMemorySize(), Meter.available(), descriptors);
        }
    }

    static Requirements of(ScalePlan plan, ScalePlan.Size size) {
        int hollow = (size.hollow() + plan.perProcess() - 1) / plan.perProcess();
        long table = TABLE + (long) size.all() * RESOURCE;
        // A machine has the table it serves, the next one while it is put together, and messages under way; a process of hollow ones has a second table of each in its turn.
        long links = (long) (SKEW * size.hollow() / Math.max(1, plan.relays() == 0 ? plan.voters() : plan.relays()));
        int machineHeap = (int) ((96 * MIB + 4 * table + links * (64 << 10)) / MIB);
        int each = Math.min(plan.perProcess(), size.hollow());
        int hollowHeap = (int) ((64 * MIB + each * (HOLLOW + table) * 3 / 2 + 3 * table) / MIB);
        int machines = plan.voters() + plan.relays() + plan.gateways();
        long memory = MIB * (machines * (long) (machineHeap + BESIDE_HEAP) + hollow * (long) (hollowHeap + BESIDE_HEAP) + 2L * BESIDE_HEAP);
        int descriptors = SPARE + (int) Math.max(Math.max(links, Math.ceil(SKEW * each)), plan.relays());
        return new Requirements(machines + hollow + 2, memory, descriptors, hollow, machineHeap, hollowHeap);
    }

    /** Why it can't be played here, a line each; empty where it can. */
    List<String> refusals(Capacity capacity) {
        List<String> lines = new ArrayList<>();
        if (processes >= PROCESSES_BELOW) {
            lines.add("expected fewer than " + PROCESSES_BELOW + " processes, found that it needs " + processes + "; raise per_process");
        }
        if (memory > capacity.memory / 2) {
            lines.add("expected to need at most half of this machine's memory, " + capacity.memory / 2 / MIB + " MiB, found " + memory / MIB + " MiB");
        } else if (memory > capacity.free) {
            lines.add("expected " + memory / MIB + " MiB of memory that nobody uses now, found " + capacity.free / MIB + " MiB; others share the machine, try later");
        }
        if (descriptors > capacity.descriptors) {
            lines.add("expected at least " + descriptors + " descriptors for a process (ulimit -n), found " + capacity.descriptors);
        }
        return lines;
    }
}
