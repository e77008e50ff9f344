/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.standin;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;

/**
 * What a request asks of the worker's stand-in, as its JSON body. Any other body runs for no time
 * and is sent back.
 *
 * @param millis how long the task runs
 * @param echo sent back
 * @param behave {@code cut} ends the connection in the middle of the answer, {@code drop} before
 *            it, {@code twice} sends the answer two times, {@code unnamed} leaves the task id out,
 *            {@code wrong-task} names another task
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

    boolean does(String what)
    {
        return what.equals(behave);
    }
}
