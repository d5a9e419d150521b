package mastdrift.distribution.edge;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import mastdrift.distribution.Change;
import mastdrift.distribution.Delta;
import mastdrift.distribution.Edit;
import mastdrift.distribution.Message;
import mastdrift.distribution.Resource;
import mastdrift.distribution.ResourceKind;
import mastdrift.distribution.Revision;

/** Random messages and their parts from a seed, and their full content as text, including arrays. */
final class RandomMessages {

    private static final ResourceKind[] KINDS = ResourceKind.values();
    private static final String ALPHABET = "abcdefghijklmnopqrstuvwxyz-.0123456789/äß€漢";

    private final Random random;

    RandomMessages(Random random) {
        this.random = random;
    }

    private long number() {
        return random.nextLong() >>> 1 + random.nextInt(Long.SIZE - 1);
    }

    private int count() {
        return random.nextInt() >>> 1 + random.nextInt(Integer.SIZE - 1);
    }

    String text(int minChars, int maxChars) {
        StringBuilder text = new StringBuilder();
        for (int i = minChars + random.nextInt(1 + (random.nextInt(8) == 0 ? maxChars - minChars : Math.min(20, maxChars - minChars))); i > 0; i--) {
            text.append(ALPHABET.charAt(random.nextInt(ALPHABET.length())));
        }
        return text.toString();
    }

    Revision revision() {
        return new Revision(number(), number(), random.nextLong(), random.nextLong());
    }

    private byte[] value() {
        byte[] value = new byte[random.nextInt(random.nextInt(20) == 0 ? Resource.MAX_VALUE_BYTES + 1 : 100)];
        random.nextBytes(value);
        return random.nextBoolean() ? value : Arrays.copyOf(text(1, 100).repeat(10).getBytes(StandardCharsets.UTF_8), value.length);
    }

    Resource resource() {
        return new Resource(KINDS[random.nextInt(KINDS.length)], text(1, Resource.MAX_NAME_CHARS), number(), value());
    }

    private List<Resource> resources(int max) {
        List<Resource> resources = new ArrayList<>();
        for (int i = random.nextInt(max + 1); i > 0; i--) {
            resources.add(resource());
        }
        return resources;
    }

    Delta delta() {
        List<Delta.Deletion> deletions = new ArrayList<>();
        for (int i = random.nextInt(4); i > 0; i--) {
            deletions.add(new Delta.Deletion(KINDS[random.nextInt(KINDS.length)], text(1, Resource.MAX_NAME_CHARS)));
        }
        return new Delta(number(), revision(), resources(5), deletions);
    }

    Change change() {
        List<Edit> edits = new ArrayList<>();
        for (int i = random.nextInt(20); i > 0; i--) {
            ResourceKind kind = KINDS[random.nextInt(KINDS.length)];
            long expected = random.nextInt(3) == 0 ? Edit.ANY_VERSION : number();
            byte[] value = new byte[random.nextInt(500)];
            random.nextBytes(value);
            edits.add(random.nextBoolean() ? new Edit.Upsert(kind, text(1, Resource.MAX_NAME_CHARS), value, expected) : new Edit.Delete(kind, text(1, Resource.MAX_NAME_CHARS), expected));
        }
        return new Change(text(1, Change.MAX_ID_CHARS), edits);
    }

    Message message() {
        return switch (random.nextInt(11)) {
            case 0 -> new Message.Subscribe(revision(), text(0, MessageCodec.MAX_NAME_CHARS));
            case 1 -> new Message.Fetch(random.longs(random.nextInt(1_025)).toArray(), count());
            case 2 -> new Message.Credit(count());
            case 3 -> new Message.Ack(revision());
            case 4 -> new Message.Nack(revision(), revision(), text(0, MessageCodec.MAX_REASON_CHARS));
            case 5 -> {
                List<Message.ZoneSummary> zones = new ArrayList<>();
                for (int i = random.nextInt(MessageCodec.MAX_ZONES + 1); i > 0; i--) {
                    List<String> lagging = new ArrayList<>();
                    for (int j = random.nextInt(Message.ZoneSummary.MAX_LAGGING_NAMES + 1); j > 0; j--) {
                        lagging.add(text(0, 64));
                    }
                    zones.add(new Message.ZoneSummary(text(0, 64), count(), random.nextInt(4) == 0 ? null : revision(), count(), lagging));
                }
                yield new Message.Summary(zones);
            }
            case 6 -> {
                List<Delta> deltas = new ArrayList<>();
                for (int i = random.nextInt(5); i > 0; i--) {
                    deltas.add(delta());
                }
                yield new Message.Deltas(deltas);
            }
            case 7 -> new Message.Heartbeat(revision());
            case 8 -> new Message.SnapshotNeeded(revision(), text(0, MessageCodec.MAX_REASON_CHARS));
            case 9 -> {
                List<Message.Shard> shards = new ArrayList<>();
                for (int i = random.nextInt(6); i > 0; i--) {
                    shards.add(new Message.Shard(random.nextInt(1_024), resources(4)));
                }
                yield new Message.SnapshotChunk(revision(), shards, random.nextBoolean());
            }
            default -> new Message.RetryAfter(count());
        };
    }

    /** Full content of a message as text. */
    static String describe(Message message) {
        if (message instanceof Message.Fetch fetch) {
            return "Fetch " + Arrays.toString(fetch.digests()) + " " + fetch.credit();
        }
        if (message instanceof Message.Deltas deltas) {
            return "Deltas " + deltas.deltas().stream().map(RandomMessages::describe).toList();
        }
        if (message instanceof Message.SnapshotChunk chunk) {
            return "SnapshotChunk " + chunk.revision() + chunk.shards().stream().map(shard -> shard.number() + " " + describe(shard.resources())).toList() + chunk.last();
        }
        return message.toString();
    }

    static String describe(Delta delta) {
        return delta.from() + " " + delta.to() + describe(delta.upserts()) + delta.deletes();
    }

    private static List<String> describe(List<Resource> resources) {
        return resources.stream().map(each -> each + Arrays.toString(each.value())).toList();
    }

    static String describe(Change change) {
        return change.id() + change.edits().stream().map(edit -> edit instanceof Edit.Upsert upsert ? upsert.kind() + upsert.name() + upsert.expectedVersion()
                + Arrays.toString(upsert.value()) : edit.toString()).toList();
    }
}
