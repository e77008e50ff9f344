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

    /**
     * @param code result code
     * @param message detail message
     */
    public GaugehollowException(ResultCode code, String message)
    {
        super(message);
        this.code = code;
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
    }

    /** @return result code */
    public ResultCode code()
    {
        return code;
    }
}
