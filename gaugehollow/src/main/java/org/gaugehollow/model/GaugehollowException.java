/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

/** The one exception of this project: unchecked, with a numbered result code. */
public final class GaugehollowException extends RuntimeException
{
    private static final long serialVersionUID = 1L;

    private final ResultCode code;

    /**
     * @param code the numbered result
     * @param message what happened, for people
     */
    public GaugehollowException(ResultCode code, String message)
    {
        super(message);
        this.code = code;
    }

    /**
     * @param code the numbered result
     * @param message what happened, for people
     * @param cause the fault underneath
     */
    public GaugehollowException(ResultCode code, String message, Throwable cause)
    {
        super(message, cause);
        this.code = code;
    }

    /** @return the numbered result */
    public ResultCode code()
    {
        return code;
    }
}
