Feature: A prompt that crashes engines is quarantined

  Scenario: A prompt that crashes engines is sent to every entry repeatedly
    When a prompt that crashes engines is sent to every entry repeatedly
    Then three engines have crashed
    And every entry refuses the prompt as not run
    And other prompts are served
