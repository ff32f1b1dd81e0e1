Feature: Engines never run more prompts of an account than its contract allows

  Scenario: Entries are killed and replaced under overload
    A customer sends more than its contract allows over all entries, while
    entries are killed and replaced. If the slice of a dead entry were granted
    again before that entry's streams ended, the engine would run more prompts
    than the contract allows.
    When training sends prompts continuously while entries are killed and replaced
    Then the engine never ran more than 8 of its prompts at once
    And the account can use its whole contract again

  Scenario: Callers disconnect while others wait
    Callers disconnect in the middle of their answers, while others of the same
    account wait for a slot. If a slot were passed on before the engine noticed
    the disconnect, it would run both prompts at once.
    When callers of training disconnect before their answers are whole
    Then the engine never ran more than 8 of its prompts at once
