/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

/** Unchecked exception that carries a numbered result code. */
public final class GaugehollowException extends RuntimeException
{
    private static final long serialVersionUID = 1L;

    private final ResultCode code;
    private final int retryAfterMillis;

    /**
     * @param code result code
     * @param message detail message
     */
    public GaugehollowException(ResultCode code, String message)
    {
        this(code, message, code.retryAfterMillis());
    }

    /**
     * @param code result code
     * @param message detail message
     * @param cause underlying cause
     */
    public GaugehollowException(ResultCode code, String message, Throwable cause)
    {
        super(message, cause);
        this.code = code;
        this.retryAfterMillis = code.retryAfterMillis();
    }

    /**
     * @param code result code
     * @param message detail message
     * @param retryAfterMillis delay in milliseconds after which a retry may succeed; 0 if a retry does
     *            not help
     */
    public GaugehollowException(ResultCode code, String message, int retryAfterMillis)
    {
        super(message);
        this.code = code;
        this.retryAfterMillis = retryAfterMillis;
    }

    /** @return delay in milliseconds after which a retry may succeed; 0 if a retry does not help */
    public int retryAfterMillis()
    {
        return retryAfterMillis;
    }

    /** @return result code */
    public ResultCode code()
    {
        return code;
    }
}
