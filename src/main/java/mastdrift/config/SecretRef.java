package mastdrift.config;

/** Where a secret is, never the secret itself: a variable of the environment, or a file beside the gateway's.
    @param file whether {@code name} is a file's
    @param name of the variable or the file */
public record SecretRef(boolean file, String name) { }
