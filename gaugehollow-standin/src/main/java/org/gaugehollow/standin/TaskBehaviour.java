/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.standin;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;

/**
 * Behaviour that a request selects in its JSON body. Any other body is sent back without delay.
 *
 * @param millis run time in milliseconds
 * @param echo value to send back
 * @param behave {@code cut} closes the connection in the middle of the answer, {@code drop} before
 *            it; {@code twice} sends the answer twice, {@code unnamed} omits the task id,
 *            {@code wrong-task} sends another task id
 */
public record TaskBehaviour(int millis, String echo, String behave)
{
    static TaskBehaviour of(byte[] body)
    {
        try
        {
            return Json.read(body, TaskBehaviour.class, ResultCode.BAD_REQUEST);
        }
        catch (GaugehollowException e)
        {
            return new TaskBehaviour(0, null, null);
        }
    }

    boolean behavesAs(String name)
    {
        return name.equals(behave);
    }
}
