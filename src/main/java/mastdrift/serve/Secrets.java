package mastdrift.serve;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import mastdrift.config.Configuration;
import mastdrift.config.PoolSettings;
import mastdrift.config.RadiusSettings;
import mastdrift.config.SecretRef;

/**
 * The secrets that a configuration refers to, each read once, on the watcher's thread. A problem names the place of a
 * secret, never its content.
 */
final class Secrets {

    private static final int MAX_SECRET_BYTES = 4096;

    private final Path folder;
    private final Map<String, String> environment;
    private final Map<SecretRef, byte[]> secrets = new ConcurrentHashMap<>();

    /** Reads files relative to the folder of the gateway's file. */
    Secrets(Path gatewayFile, Map<String, String> environment) {
        folder = gatewayFile.toAbsolutePath().getParent();
        this.environment = environment;
    }

    /** Reads the secrets of a configuration that were not read yet; returns the problems. */
    List<String> read(Configuration configuration) {
        Set<SecretRef> wanted = new LinkedHashSet<>();
        configuration.pools().values().stream().filter(PoolSettings::isRadius).forEach(pool -> wanted.add(pool.secret()));
        configuration.radiusListeners().forEach(each -> each.clients().stream().map(RadiusSettings.Client::secret).forEach(wanted::add));
        if (configuration.peers() != null) {
            wanted.addAll(configuration.peers().keys());
        }
        if (configuration.distribution() != null) {
            wanted.addAll(configuration.distribution().keys());
        }
        return read(wanted);
    }

    /** Reads the secrets that were not read yet; returns the problems. */
    List<String> read(Collection<SecretRef> wanted) {
        List<String> problems = new ArrayList<>();
        for (SecretRef ref : wanted) {
            if (!secrets.containsKey(ref)) {
                byte[] secret = ref.file() ? readFile(ref, problems) : readVariable(ref, problems);
                if (secret != null) {
                    secrets.put(ref, secret);
                }
            }
        }
        return problems;
    }

    /** A secret that was read; null for any other. */
    byte[] get(SecretRef ref) {
        return secrets.get(ref);
    }

    private byte[] readVariable(SecretRef ref, List<String> problems) {
        String value = environment.get(ref.name());
        if (value == null || value.isEmpty()) {
            problems.add("secret_variable " + ref.name() + ": expected a value in the environment, found none");
            return null;
        }
        return value.getBytes(StandardCharsets.UTF_8);
    }

    /** The content of a file without trailing white space, such as the end of its line. */
    private byte[] readFile(SecretRef ref, List<String> problems) {
        try {
            Path path = folder.resolve(ref.name());
            if (!Files.isRegularFile(path)) {
                problems.add("secret_file " + ref.name() + ": expected a file, found none");
                return null;
            }
            try (InputStream in = Files.newInputStream(path)) {
                byte[] bytes = in.readNBytes(MAX_SECRET_BYTES + 1);
                String text = new String(bytes, StandardCharsets.UTF_8).stripTrailing();
                if (text.isEmpty() || bytes.length > MAX_SECRET_BYTES) {
                    problems.add("secret_file " + ref.name() + ": expected 1 to " + MAX_SECRET_BYTES + " bytes, found "
                            + (text.isEmpty() ? "none" : "more"));
                    return null;
                }
                return text.getBytes(StandardCharsets.UTF_8);
            }
        } catch (IOException | InvalidPathException e) {
            problems.add("secret_file " + ref.name() + ": expected a file that can be read, found " + e.getClass().getSimpleName());
            return null;
        }
    }
}
