Feature: Who leaves gets no new work and cuts nothing off

  Scenario Outline: A leaving engine while <state>
    An engine's host is taken out of service, and the list of hosts does not
    say so. Prompts sent there would be cut off when it goes.
    When an engine <says> that it leaves while <state>
    Then soon no entry sends it new work

    Examples:
      | says           | state                |
      | is drained     | the list is frozen   |
      | says by itself | the platform is away |

  Scenario Outline: An entry is told to leave <how>
    Callers read answers over an entry that is replaced. None may be cut off,
    and nobody may be sent there any more.
    When an entry with 20 answers under way is told to leave <how>
    Then every answer is whole
    And the other entries no longer name it
    And it ended by itself

    Examples:
      | how                        |
      | once                       |
      | twice                      |
      | while the platform is away |
