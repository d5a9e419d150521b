package mastdrift.agreed;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Decides whether a member may take part in the log, from its own persistent record and from the records of the other
 * voters. A voter is identified by its data directory, not by its name: a random id is drawn when the directory is
 * created. A member's epoch counts how often it started to take part and how many epoch intervals it has taken part
 * since, and the others remember the highest epoch that they have heard of each id.
 *
 * <ul>
 * <li>A record of a log that is already bootstrapped: the member goes on in that log once all other voters have
 * answered, or after {@value #MAX_WAIT_FOR_ALL_MILLIS} ms once so many have answered that they and it are a majority,
 * and none of them remembers a higher epoch of it. A higher epoch means that the data directory is an older copy, which
 * may have lost votes and acknowledgements that it has given.
 * <li>A new record, and nobody has a bootstrapped log: the log is bootstrapped once all voters have answered.
 * <li>A new record, and somebody has a bootstrapped log: if the member's id is among that log's voters, it was there at
 * the bootstrap and had not heard of its completion, and takes part. Otherwise its data directory was lost and created
 * again, and it rejoins under its new id, if a majority of the log's voters is left.
 * </ul>
 *
 * <p>Not detected is an older copy that was made less than an epoch interval before the process ended, or whose higher
 * epochs were heard only by voters that are away while it starts.
 */
public final class LogMembership {

    /**
     * Persistent record of a member, as stored in its data directory and sent to the others.
     *
     * @param id drawn when the data directory was created
     * @param logId id of this log, chosen by the operator (the setting {@code begin})
     * @param voterIds ids of the voters by name, once the log is bootstrapped here; empty before
     * @param epoch of the data directory, unrelated to Raft terms: the number of starts and of epoch intervals in which
     * the member took part
     * @param peerEpochs the highest epoch heard of each other member, by id
     */
    public record MemberRecord(String id, String logId, Map<String, String> voterIds, long epoch,
            Map<String, Long> peerEpochs) {

        /** Whether the log is bootstrapped at this member. */
        public boolean isBootstrapped() {
            return !voterIds.isEmpty();
        }

        /** Returns a copy that remembers another member's epoch, if it is higher than the remembered one. */
        public MemberRecord withPeerEpoch(String peerId, long peerEpoch) {
            Map<String, Long> epochs = new HashMap<>(peerEpochs);
            epochs.merge(peerId, peerEpoch, Math::max);
            return new MemberRecord(id, logId, voterIds, epoch, epochs);
        }

        /** Returns a copy with the next epoch. */
        public MemberRecord withNextEpoch() {
            return new MemberRecord(id, logId, voterIds, epoch + 1, peerEpochs);
        }

        /** Returns a copy with these voters. */
        public MemberRecord withVoters(Map<String, String> voters) {
            return new MemberRecord(id, logId, new TreeMap<>(voters), epoch, peerEpochs);
        }
    }

    /** What a member is to do next. */
    public sealed interface Action {

        /** Wait for more answers. */
        record Wait(String reason) implements Action { }

        /** Take part in a log of these voters (ids by name). */
        record Participate(Map<String, String> voterIds) implements Action { }

        /** Ask the log's voters to add this member under its new id, in place of the one that its name had. */
        record Rejoin(Map<String, String> voterIds, String reason) implements Action { }

        /** Don't take part: the data directory is not usable for this log, or no majority is left to join. */
        record Withdraw(String reason) implements Action { }
    }

    /** How long a member of a bootstrapped log waits for all other voters before a majority is enough. */
    public static final long MAX_WAIT_FOR_ALL_MILLIS = 3_000;

    private LogMembership() { }

    /**
     * Returns what a member is to do next.
     *
     * @param name the gateway's name
     * @param ownRecord its own record
     * @param voters configured voters
     * @param peerRecords records received so far, by name
     * @param waitedMillis time since the member was started
     */
    public static Action nextAction(String name, MemberRecord ownRecord, Collection<String> voters,
            Map<String, MemberRecord> peerRecords, long waitedMillis) {
        TreeSet<String> others = new TreeSet<>(voters);
        others.remove(name);
        for (Map.Entry<String, MemberRecord> each : peerRecords.entrySet()) {
            if (!each.getValue().logId().equals(ownRecord.logId())) {
                return new Action.Withdraw("expected the log id \"" + ownRecord.logId() + "\", found \""
                        + each.getValue().logId() + "\" at " + each.getKey());
            }
            long rememberedEpoch = each.getValue().peerEpochs().getOrDefault(ownRecord.id(), 0L);
            if (rememberedEpoch > ownRecord.epoch()) {
                return new Action.Withdraw("older copy of the data directory: its epoch is " + ownRecord.epoch()
                        + ", and " + each.getKey() + " remembers " + rememberedEpoch);
            }
        }
        if (ownRecord.isBootstrapped()) {
            if (!ownRecord.id().equals(ownRecord.voterIds().get(name))) {
                return new Action.Withdraw("data directory of another member, or of one that was replaced: "
                        + ownRecord.id() + " is not the id of " + name + " in its log");
            }
            long excludingCount = peerRecords.values().stream()
                    .filter(each -> each.isBootstrapped() && !each.voterIds().containsValue(ownRecord.id())).count();
            if (excludingCount > ownRecord.voterIds().size() / 2) {
                return new Action.Withdraw("this member was replaced by another one in the log");
            }
            int neededCount = waitedMillis < MAX_WAIT_FOR_ALL_MILLIS ? ownRecord.voterIds().size() - 1
                    : ownRecord.voterIds().size() / 2;
            // A member whose data directory was created again remembers no epochs, so it doesn't count.
            long answeredCount = ownRecord.voterIds().entrySet().stream()
                    .filter(each -> !each.getKey().equals(name) && peerRecords.containsKey(each.getKey())
                    && peerRecords.get(each.getKey()).id().equals(each.getValue())).count();
            return answeredCount >= neededCount ? new Action.Participate(ownRecord.voterIds())
                    : new Action.Wait("for " + neededCount + " other voters, " + answeredCount + " have answered");
        }
        Map<String, String> existingVoterIds = null;
        for (MemberRecord each : peerRecords.values()) {
            existingVoterIds = each.isBootstrapped() ? each.voterIds() : existingVoterIds;
        }
        if (existingVoterIds != null) {
            if (ownRecord.id().equals(existingVoterIds.get(name))) {
                return new Action.Participate(existingVoterIds);
            }
            int presentCount = 0;
            for (Map.Entry<String, String> each : existingVoterIds.entrySet()) {
                MemberRecord peerRecord = peerRecords.get(each.getKey());
                presentCount += peerRecord != null && peerRecord.isBootstrapped() && peerRecord.id()
                        .equals(each.getValue()) ? 1
                        : 0;
            }
            if (presentCount > existingVoterIds.size() / 2) {
                return new Action.Rejoin(existingVoterIds,
                        "this data directory is new, and the log was started without it");
            }
            return peerRecords.keySet().containsAll(others)
                    ? new Action.Withdraw("a majority of the log's data directories is lost, and its content can't be recovered; set begin = \"...\" to a new value to start a new log")
                    : new Action.Wait("for a majority of the log's voters, " + presentCount + " of "
                    + existingVoterIds.size() + " are present");
        }
        List<String> missing = new ArrayList<>(others);
        missing.removeAll(peerRecords.keySet());
        if (!missing.isEmpty()) {
            return new Action.Wait("for all voters, to start the log: " + String.join(", ", missing)
                    + " have not answered");
        }
        TreeMap<String, String> newVoterIds = new TreeMap<>(Map.of(name, ownRecord.id()));
        others.forEach(each -> newVoterIds.put(each, peerRecords.get(each).id()));
        return new Action.Participate(newVoterIds);
    }
}
