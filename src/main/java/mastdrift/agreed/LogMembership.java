package mastdrift.agreed;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Whether a member may take part in the log, by its own folder and by what the other voters say. A voter is a folder, not a name: its id is drawn when the folder is made. It keeps count of the times that it took part and of time spent in it (its epoch), and the
 * others remember the highest epoch that they heard of each id.
 *
 * <ul>
 * <li>A folder that is part of a log that has begun goes on in it, once all others have answered, or after {@value #PATIENCE} ms so many that they and it are a majority, and none remembers a higher epoch of it: else it is an older copy, and has
 * perhaps promised what it no longer knows.
 * <li>A folder that is not, where nobody's is: the log begins, once all voters have said so.
 * <li>A folder that is not, where somebody's is: its id is in that log where it was there at the begin and had not heard of it; else it was lost and made anew, and joins under its new id, by those who are left.
 * </ul>
 *
 * <p>Not told from the folder itself is an older copy that was made less than an epoch before the process ended, or whose epochs were heard by those alone who are away while it starts.
 */
public final class LogMembership {

    /**
     * What a member's folder says.
     *
     * @param id drawn when the folder was made
     * @param begin the operator's word for this log
     * @param group ids of the voters by name, once the log has begun here; empty before
     * @param epoch of the folder, not of the Raft library's leaders (its terms): times that it took part, and spans of time in which it did
     * @param heardEpochs the highest epoch that it has heard of others, by id
     */
    public record Folder(String id, String begin, Map<String, String> group, long epoch, Map<String, Long> heardEpochs) {

        /** Whether its log has begun. */
        public boolean begun() {
            return !group.isEmpty();
        }

        /** The same, having heard of another folder's epoch. */
        public Folder withHeard(String other, long otherEpoch) {
            Map<String, Long> all = new HashMap<>(heardEpochs);
            all.merge(other, otherEpoch, Math::max);
            return new Folder(id, begin, group, epoch, all);
        }

        /** The same, an epoch later. */
        public Folder nextEpoch() {
            return new Folder(id, begin, group, epoch + 1, heardEpochs);
        }

        /** The same, in a log of these voters. */
        public Folder withGroup(Map<String, String> voters) {
            return new Folder(id, begin, new TreeMap<>(voters), epoch, heardEpochs);
        }
    }

    /** What to do. */
    public sealed interface Step {

        /** Not yet. */
        record Wait(String why) implements Step { }

        /** Take part, in a log of these voters, by name and id. */
        record TakePart(Map<String, String> group) implements Step { }

        /** Ask those in the log to take this folder in, in place of the one that the name had. */
        record JoinAnew(Map<String, String> group, String why) implements Step { }

        /** Take no part: this folder can't be trusted, or there is nobody to join. */
        record StepAside(String why) implements Step { }
    }

    /** For so long a folder that has begun waits for all others, in milliseconds. */
    public static final long PATIENCE = 3_000;

    private LogMembership() { }

    /** Of the gateway of a name, among voters that the files name, with what the others have answered so far, by name, in the milliseconds that it has waited. */
    public static Step step(String name, Folder own, Collection<String> voters, Map<String, Folder> answers, long waited) {
        TreeSet<String> others = new TreeSet<>(voters);
        others.remove(name);
        for (Map.Entry<String, Folder> each : answers.entrySet()) {
            if (!each.getValue().begin().equals(own.begin())) {
                return new Step.StepAside("expected the log \"" + own.begin() + "\", found \"" + each.getValue().begin() + "\" at " + each.getKey());
            }
            long remembered = each.getValue().heardEpochs().getOrDefault(own.id(), 0L);
            if (remembered > own.epoch()) {
                return new Step.StepAside("an older copy of this folder: its epoch is " + own.epoch() + ", and " + each.getKey() + " remembers " + remembered);
            }
        }
        if (own.begun()) {
            if (!own.id().equals(own.group().get(name))) {
                return new Step.StepAside("a folder with another's identity, or one that was replaced: " + own.id() + " is not the one of " + name + " in its log");
            }
            long without = answers.values().stream().filter(each -> each.begun() && !each.group().containsValue(own.id())).count();
            if (without > own.group().size() / 2) {
                return new Step.StepAside("another was taken into the log in place of this folder");
            }
            int needed = waited < PATIENCE ? own.group().size() - 1 : own.group().size() / 2;
            // One that was made anew remembers nothing: it is no witness.
            long answered = own.group().entrySet().stream().filter(each -> !each.getKey().equals(name) && answers.containsKey(each.getKey())
                    && answers.get(each.getKey()).id().equals(each.getValue())).count();
            return answered >= needed ? new Step.TakePart(own.group()) : new Step.Wait("for " + needed + " others of the log, " + answered + " have answered");
        }
        Map<String, String> group = null;
        for (Folder each : answers.values()) {
            group = each.begun() ? each.group() : group;
        }
        if (group != null) {
            if (own.id().equals(group.get(name))) {
                return new Step.TakePart(group);
            }
            int there = 0;
            for (Map.Entry<String, String> each : group.entrySet()) {
                Folder answer = answers.get(each.getKey());
                there += answer != null && answer.begun() && answer.id().equals(each.getValue()) ? 1 : 0;
            }
            if (there > group.size() / 2) {
                return new Step.JoinAnew(group, "this folder was made anew, the log has begun without it");
            }
            return answers.keySet().containsAll(others)
                    ? new Step.StepAside("most folders of the log are lost: what it held can't be known; an operator's new word for it, begin = \"...\", begins another")
                    : new Step.Wait("for a majority of the log's folders, " + there + " of " + group.size() + " are there");
        }
        List<String> missing = new ArrayList<>(others);
        missing.removeAll(answers.keySet());
        if (!missing.isEmpty()) {
            return new Step.Wait("for all voters, to begin: " + String.join(", ", missing) + " have not answered");
        }
        TreeMap<String, String> all = new TreeMap<>(Map.of(name, own.id()));
        others.forEach(each -> all.put(each, answers.get(each).id()));
        return new Step.TakePart(all);
    }
}
