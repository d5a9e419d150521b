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

/** The secrets that a configuration refers to, read once each, on the watcher's thread. What is wrong with one names where it
    should be, never what it holds. */
final class Secrets {

    private static final int MOST = 4096;

    private final Path folder;
    private final Map<String, String> environment;
    private final Map<SecretRef, byte[]> secrets = new ConcurrentHashMap<>();

    /** Files are relative to the gateway's. */
    Secrets(Path gatewayFile, Map<String, String> environment) {
        folder = gatewayFile.toAbsolutePath().getParent();
        this.environment = environment;
    }

    /** Reads those that were not read yet; returns what is wrong with them. */
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

    /** Reads those that were not read yet; returns what is wrong with them. */
    List<String> read(Collection<SecretRef> wanted) {
        List<String> problems = new ArrayList<>();
        for (SecretRef ref : wanted) {
            if (!secrets.containsKey(ref)) {
                byte[] secret = ref.file() ? file(ref, problems) : variable(ref, problems);
                if (secret != null) {
                    secrets.put(ref, secret);
                }
            }
        }
        return problems;
    }

    /** One that was read. */
    byte[] get(SecretRef ref) {
        return secrets.get(ref);
    }

    private byte[] variable(SecretRef ref, List<String> problems) {
        String value = environment.get(ref.name());
        if (value == null || value.isEmpty()) {
            problems.add("secret_variable " + ref.name() + ": expected a value in the environment, found none");
            return null;
        }
        return value.getBytes(StandardCharsets.UTF_8);
    }

    /** Without the line's end behind it. */
    private byte[] file(SecretRef ref, List<String> problems) {
        try {
            Path path = folder.resolve(ref.name());
            if (!Files.isRegularFile(path)) {
                problems.add("secret_file " + ref.name() + ": expected a file, found none");
                return null;
            }
            try (InputStream in = Files.newInputStream(path)) {
                byte[] bytes = in.readNBytes(MOST + 1);
                String text = new String(bytes, StandardCharsets.UTF_8).stripTrailing();
                if (text.isEmpty() || bytes.length > MOST) {
                    problems.add("secret_file " + ref.name() + ": expected 1 to " + MOST + " bytes, found "
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
