package mastdrift.config;

/**
 * The location of a secret, never the secret itself: an environment variable, or a file relative to the gateway's file.
 *
 * @param file whether {@code name} is that of a file
 * @param name of the variable or the file
 */
public record SecretRef(boolean file, String name) { }
